/* What reader.c and follow.c share.  */
#ifndef TABLE_VMS_IMPL_H
#define TABLE_VMS_IMPL_H

#include "skr/vms.h"

/* The same order on every daemon; the first reads.  */
int vl_precedes (const struct vl_follow *f, const char *a, const char *b);
/* A fixed part of SPAN that differs between daemons.  */
int64_t vl_jitter (const struct vl_follow *f, int64_t span);
struct vl_peer *vl_find_peer (struct vl_follow *f, const char *vm);
/* True for the reader itself too.  */
int vl_reader_is_silent (const struct vl_follow *f, int64_t now_ms);

#endif
