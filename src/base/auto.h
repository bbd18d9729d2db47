/* auto.h -- attributes that release what a variable refers to at the end of
   its scope.

   The variable must be initialized in its declaration.  A NULL pointer or a
   negative file descriptor is left alone.  */

#ifndef HS_BASE_AUTO_H
#define HS_BASE_AUTO_H

#include <jansson.h>
#include <talloc.h>
#include <unistd.h>

#define HS_AUTO_TALLOC __attribute__ ((cleanup (hs_auto_talloc_free)))
#define HS_AUTO_JSON __attribute__ ((cleanup (hs_auto_json_decref)))
#define HS_AUTO_FD __attribute__ ((cleanup (hs_auto_fd_close)))

static inline void
hs_auto_talloc_free (void *variable)
{
  talloc_free (*(void **)variable);
}

static inline void
hs_auto_json_decref (json_t **json)
{
  json_decref (*json);
}

static inline void
hs_auto_fd_close (const int *fd)
{
  if (*fd >= 0)
    close (*fd);
}

#endif /* HS_BASE_AUTO_H */
