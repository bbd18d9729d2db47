/* addr.c -- IP addresses with ports, as text and as socket addresses.  */

#include "base/addr.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Types.  */

#define PORT_MAX 65535
#define IP_TEXT_SIZE INET6_ADDRSTRLEN /* Bytes, with NUL.  */

/* Prefix of an IPv4-mapped IPv6 address, ::ffff:0:0/96.  */
static const uint8_t mapped_prefix[12]
    = { 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff };

/* Private functions.  */

static bool parse_ip (const char *text, bool bracketed, uint8_t *ip);
static bool parse_port (const char *text, uint16_t *port);

/* Public definitions.  */

bool
hs_addr_parse (const char *text, struct hs_addr *addr)
{
  char ip[IP_TEXT_SIZE];
  bool bracketed = text[0] == '[';
  const char *start = bracketed ? text + 1 : text;
  const char *end = bracketed ? strchr (start, ']') : strrchr (start, ':');
  const char *colon = end != NULL && bracketed ? end + 1 : end;

  if (end == NULL || *colon != ':' || (size_t)(end - start) >= sizeof ip)
    return false;
  memcpy (ip, start, (size_t)(end - start));
  ip[end - start] = '\0';
  return parse_ip (ip, bracketed, addr->ip)
         && parse_port (colon + 1, &addr->port);
}

void
hs_addr_format (const struct hs_addr *addr, char *text)
{
  char ip[IP_TEXT_SIZE];

  if (hs_addr_is_ipv4 (addr))
    {
      inet_ntop (AF_INET, addr->ip + sizeof mapped_prefix, ip, sizeof ip);
      snprintf (text, HS_ADDR_TEXT_SIZE, "%s:%u", ip, addr->port);
      return;
    }
  inet_ntop (AF_INET6, addr->ip, ip, sizeof ip);
  snprintf (text, HS_ADDR_TEXT_SIZE, "[%s]:%u", ip, addr->port);
}

bool
hs_addr_equal (const struct hs_addr *a, const struct hs_addr *b)
{
  return a->port == b->port && memcmp (a->ip, b->ip, sizeof a->ip) == 0;
}

uint64_t
hs_addr_hash (const struct hs_addr *addr)
{
  return XXH3_64bits_withSeed (addr->ip, sizeof addr->ip, addr->port);
}

bool
hs_addr_is_ipv4 (const struct hs_addr *addr)
{
  return memcmp (addr->ip, mapped_prefix, sizeof mapped_prefix) == 0;
}

bool
hs_addr_is_loopback (const struct hs_addr *addr)
{
  return hs_addr_is_ipv4 (addr) && addr->ip[sizeof mapped_prefix] == 127;
}

const struct hs_addr *
hs_addr_or (const struct hs_addr *addr, const struct hs_addr *other)
{
  return addr->port != 0 ? addr : other;
}

struct hs_addr
hs_addr_from_ipv4 (uint32_t ip, uint16_t port)
{
  struct hs_addr addr = { .port = port };
  uint32_t ip_be = htonl (ip);

  memcpy (addr.ip, mapped_prefix, sizeof mapped_prefix);
  memcpy (addr.ip + sizeof mapped_prefix, &ip_be, sizeof ip_be);
  return addr;
}

socklen_t
hs_addr_to_sockaddr (const struct hs_addr *addr, struct sockaddr_storage *ss)
{
  if (hs_addr_is_ipv4 (addr))
    {
      struct sockaddr_in *sin = (struct sockaddr_in *)ss;

      memset (sin, 0, sizeof *sin);
      sin->sin_family = AF_INET;
      sin->sin_port = htons (addr->port);
      memcpy (&sin->sin_addr, addr->ip + sizeof mapped_prefix, 4);
      return sizeof *sin;
    }
  struct sockaddr_in6 *sin6 = (struct sockaddr_in6 *)ss;

  memset (sin6, 0, sizeof *sin6);
  sin6->sin6_family = AF_INET6;
  sin6->sin6_port = htons (addr->port);
  memcpy (&sin6->sin6_addr, addr->ip, sizeof addr->ip);
  return sizeof *sin6;
}

bool
hs_addr_from_sockaddr (const struct sockaddr_storage *ss, struct hs_addr *addr)
{
  if (ss->ss_family == AF_INET)
    {
      const struct sockaddr_in *sin = (const struct sockaddr_in *)ss;

      *addr = hs_addr_from_ipv4 (ntohl (sin->sin_addr.s_addr),
                                 ntohs (sin->sin_port));
      return true;
    }
  if (ss->ss_family == AF_INET6)
    {
      const struct sockaddr_in6 *sin6 = (const struct sockaddr_in6 *)ss;

      memcpy (addr->ip, &sin6->sin6_addr, sizeof addr->ip);
      addr->port = ntohs (sin6->sin6_port);
      return true;
    }
  return false;
}

/* Private definitions.  */

/* Parses an IPv6 address if BRACKETED, else an IPv4 address, which is stored
   as IPv4-mapped.  Returns false if TEXT is not such an address.  */
static bool
parse_ip (const char *text, bool bracketed, uint8_t *ip)
{
  struct in_addr v4;

  if (bracketed)
    return inet_pton (AF_INET6, text, ip) == 1;
  if (inet_pton (AF_INET, text, &v4) != 1)
    return false;
  memcpy (ip, mapped_prefix, sizeof mapped_prefix);
  memcpy (ip + sizeof mapped_prefix, &v4, sizeof v4);
  return true;
}

/* Parses a decimal number from 0 to PORT_MAX without sign or spaces.  */
static bool
parse_port (const char *text, uint16_t *port)
{
  char *end;
  unsigned long value;

  if (text[0] < '0' || text[0] > '9')
    return false;
  value = strtoul (text, &end, 10);
  if (*end != '\0' || value > PORT_MAX)
    return false;
  *port = (uint16_t)value;
  return true;
}
