/* Functions shared by reader.c and follow.c.  */
#ifndef TABLE_VMS_IMPL_H
#define TABLE_VMS_IMPL_H

#include "skr/vms.h"

/* True when VM A precedes VM B as reader.  The order is the same on every
   daemon; the first live VM is the reader.  */
int vl_precedes (const struct vl_follow *f, const char *a, const char *b);
/* Returns a pseudo-random time from 0 to below SPAN that differs between
   daemons and reads but is otherwise fixed.  */
int64_t vl_jitter (const struct vl_follow *f, int64_t span);
/* Returns the peer with id VM, or NULL.  */
struct vl_peer *vl_find_peer (struct vl_follow *f, const char *vm);
/* True when no message of a reader arrived within this daemon's timeout.  Also
   true on the daemon that is itself the reader.  */
int vl_reader_is_silent (const struct vl_follow *f, int64_t now_ms);

#endif
