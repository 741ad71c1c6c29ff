/* A store that records calls and leaves the replies to the test.  */
#ifndef FAKE_STORE_H
#define FAKE_STORE_H

#include "batch/batch.h"

struct fs_store
{
  struct ba_store_call *last_call; /* the last call, or NULL */
  int writes, reads, follows;
  int64_t expected_version; /* version in the first entry of the last write */
  GPtrArray *entries; /* struct fs_entry of the last write; NULL: none yet */
};

/* An entry of a write.  */
struct fs_entry
{
  enum po_entry_kind kind;
  char *table, *key, *value; /* VALUE may be NULL */
};

extern struct fs_store fs_store;

/* Clears all counters and frees a call that got no reply.  */
void fs_reset (void);
/* The entry of the last write that puts row KEY of TABLE, or NULL.  */
const struct fs_entry *fs_find_put (const char *table, const char *key);
/* Returns the last call, to be released with g_free, or NULL.  */
struct ba_store_call *fs_take_call (void);

#endif
