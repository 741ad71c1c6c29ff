/* A store that takes notes and answers when it is told to.  */
#ifndef FAKE_STORE_H
#define FAKE_STORE_H

#include "batch/batch.h"

struct fs_store
{
  struct ba_store_call *asked; /* of the last question */
  int writes, reads, follows;
  int64_t expected; /* version in the last write's first entry */
};

extern struct fs_store fs_store;

/* Forgets all; a question that was not answered is freed.  */
void fs_reset (void);
/* The last question, which is the caller's to free.  */
struct ba_store_call *fs_take (void);

#endif
