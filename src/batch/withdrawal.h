/* Ids that an account has cancelled before a job with them was known.  A row
   of the job table keeps a submission that comes later from being stored.
   Does no I/O.  Times are in milliseconds of the store's clock.  */
#ifndef SKR_BATCH_WITHDRAWAL_H
#define SKR_BATCH_WITHDRAWAL_H

#include <glib.h>

#include "skr/steps.h"

enum
{
  WD_KEY_SIZE = 40, /* bytes of a key: id, dot, letter, account and NUL */
  /* A submission may arrive this long after its cancellation: callers repeat
     it for some seconds, it waits at a VM for 4 s at most, and the store may
     get it 12 s late.  */
  WD_KEEP_MS = 300000,
  /* Rows of one account, so that none fills the table or the memory of the
     VMs.  */
  WD_MAX_ROWS = 1000
};

struct wd_row
{
  int64_t at_ms;
  int64_t version; /* 0: not known yet */
  int generation;  /* of the last full scan that saw it */
  char by[17];     /* account that asked, as in the key */
  char key[WD_KEY_SIZE];
};

/* All known rows.  */
struct wd_table
{
  GHashTable *rows;   /* key to struct wd_row */
  GHashTable *counts; /* account to the number of its rows */
};

void wd_init (struct wd_table *t);
void wd_fini (struct wd_table *t);
/* Writes the key of the row that keeps submissions of ID by ACCOUNT, NULL
   without a key, from being stored.  */
void wd_make_key (char out[WD_KEY_SIZE], const char *id, const char *account);
/* Whether KEY, of the job table, is of such a row.  */
int wd_is_key (const char *key);
/* Returns the value of a row that a caller with ACCOUNT asked for, to be
   released with free.  */
char *wd_value (const char *account, int64_t at_ms);
/* Applies a row of the job table whose key wd_is_key.  VERSION may be 0 for
   one that was written just now.  */
void wd_apply_row (struct wd_table *t, const char *key, const char *value,
                   int64_t version, int deleted, int generation);
/* Removes the rows that the full scan GENERATION did not see.  */
void wd_remove_unseen (struct wd_table *t, int generation);
/* Returns the row, owned by T, or NULL.  */
const struct wd_row *wd_find (const struct wd_table *t, const char *id,
                              const char *account);
/* Whether ACCOUNT has cancelled ID at most MAX_AGE_MS before NOW, 0 if that is
   not known.  */
int wd_is_withdrawn (const struct wd_table *t, const char *id,
                     const char *account, int64_t now, int64_t max_age_ms);
/* Whether ACCOUNT may not cause further rows.  */
int wd_is_full (const struct wd_table *t, const char *account);
/* Copies to OUT up to MAX rows that need not be kept any more, and returns
   their number.  */
int wd_expired (const struct wd_table *t, int64_t now, struct wd_row *out,
                int max);

#endif
