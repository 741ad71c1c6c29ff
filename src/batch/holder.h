/* What the files of the scheduler's turn share.  */
#ifndef SKR_BATCH_HOLDER_H
#define SKR_BATCH_HOLDER_H

#include "batch/batch.h"

/* holder.c */
void ho_log_term (struct batch *b, enum lg_event event, const char *reason);
void ho_begin_term (struct batch *b);
void ho_end_term (struct batch *b);

/* commit.c */
/* Opens a commit that writes LEASE_VALUE, which it takes over, to the lease
   row.  */
void cm_begin (struct batch *b, enum ba_commit_kind kind, char *lease_value);
/* The same with the records that changed and the old rows to delete.  */
void cm_begin_records (struct batch *b);
/* Sends the open commit when it is due.  */
void cm_send (struct batch *b);
/* Forgets the open commit.  */
void cm_reset (struct batch *b);

/* load.c */
/* Asks for the next page when it is due.  */
void ld_send_read (struct batch *b);
/* Frees what was read and not taken in.  */
void ld_free (struct batch *b);

#endif
