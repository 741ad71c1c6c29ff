/* Interface between the files that implement a term as lease holder.  */
#ifndef SKR_BATCH_HOLDER_H
#define SKR_BATCH_HOLDER_H

#include "batch/batch.h"

/* holder.c */
/* Logs EVENT with the lease's epoch and version, the term and REASON.  */
void ho_log_term (struct batch *b, enum lg_event event, const char *reason);
/* Starts loading after the lease was acquired.  */
void ho_begin_term (struct batch *b);
/* Discards the scheduler's state and returns to BA_STANDBY.  */
void ho_end_term (struct batch *b);

/* commit.c */
/* Opens a commit that writes LEASE_VALUE to the lease row.  Takes ownership
   of LEASE_VALUE, which must come from malloc.  */
void cm_begin (struct batch *b, enum ba_commit_kind kind, char *lease_value);
/* Opens a commit that renews the lease, stores changed records and deletes
   expired jobs.  */
void cm_begin_records (struct batch *b);
/* Sends the open commit if it is due.  */
void cm_send (struct batch *b);
/* Prepares the first commit of a term.  */
void cm_begin_term (struct batch *b);
/* Discards the open commit.  */
void cm_reset (struct batch *b);

/* load.c */
/* Reads the next page if it is due.  */
void ld_send_read (struct batch *b);
/* Frees loaded records and jobs that were not added.  */
void ld_free (struct batch *b);

#endif
