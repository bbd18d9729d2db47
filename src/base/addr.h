/* addr.h -- conversion of addresses to and from IPv4 and socket addresses.  */

#ifndef HS_BASE_ADDR_H
#define HS_BASE_ADDR_H

#include "hibiscusspan.h"

#include <netinet/in.h>
#include <sys/socket.h>

/* Returns whether ADDR holds an IPv4 address.  */
bool hs_addr_is_ipv4 (const struct hs_addr *addr);

/* Returns whether ADDR is in 127.0.0.0/8.  The IPv6 loopback address is not
   recognized.  */
bool hs_addr_is_loopback (const struct hs_addr *addr);

/* Returns ADDR or, if its port is 0, OTHER.  */
const struct hs_addr *hs_addr_or (const struct hs_addr *addr,
                                  const struct hs_addr *other);

/* Returns the address for IP and PORT, both in host byte order.  */
struct hs_addr hs_addr_from_ipv4 (uint32_t ip, uint16_t port);

/* Writes ADDR to SS as a struct sockaddr_in or sockaddr_in6 and returns the
   number of bytes used.  */
socklen_t hs_addr_to_sockaddr (const struct hs_addr *addr,
                               struct sockaddr_storage *ss);

/* Sets ADDR from SS.  Returns false and leaves ADDR unchanged if SS is neither
   an IPv4 nor an IPv6 address.  */
bool hs_addr_from_sockaddr (const struct sockaddr_storage *ss,
                            struct hs_addr *addr);

#endif /* HS_BASE_ADDR_H */
