/* A store that records calls and leaves the replies to the test.  */
#ifndef FAKE_STORE_H
#define FAKE_STORE_H

#include "batch/batch.h"

struct fs_store
{
  struct ba_store_call *last_call; /* the last call, or NULL */
  int writes, reads, follows;
  int64_t expected_version; /* version in the first entry of the last write */
};

extern struct fs_store fs_store;

/* Clears all counters and frees a call that got no reply.  */
void fs_reset (void);
/* Returns the last call, to be released with g_free, or NULL.  */
struct ba_store_call *fs_take_call (void);

#endif
