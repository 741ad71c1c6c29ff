/* What the job table says about each job, reduced to what client requests
   need, so that they are answered from memory.  Does no I/O.  */
#ifndef SKR_BATCH_VIEW_H
#define SKR_BATCH_VIEW_H

#include <glib.h>

#include "batch/withdrawal.h"
#include "skr/steps.h"

enum
{
  VW_KEY_SIZE = 24 /* bytes of a key: id, dot, letter and NUL */
};

/* A job as its rows describe it.  */
struct vw_job
{
  char id[SJ_ID_SIZE];
  char *queue, *account;
  int64_t version; /* of the job's own row; 0 if only other rows were seen */
  int64_t accepted_ms; /* on the store's clock */
  int64_t ended_ms;    /* on the store's clock; 0 if not ended */
  enum sj_state state;
  int cancelled;  /* a client asked to cancel it */
  int generation; /* of the last full scan that saw it */
};

/* All known jobs, by id.  */
struct vw_view
{
  GHashTable *jobs;
  struct wd_table withdrawals;
};

/* Kinds of rows in the job table.  */
enum vw_row
{
  VW_JOB,        /* the job itself */
  VW_STATE,      /* the state that clients see */
  VW_CANCEL,     /* a request to cancel the job */
  VW_LEASE,      /* the scheduler's lease */
  VW_END,        /* the last end of a holder by a crash */
  VW_WITHDRAWAL, /* a cancellation of a job that was not known */
  VW_OTHER
};

void vw_init (struct vw_view *v);
void vw_fini (struct vw_view *v);
/* Returns the kind of the row with KEY and copies the job's id to ID, which
   is defined only for the three kinds of job rows.  */
enum vw_row vw_parse_key (const char *key, char id[SJ_ID_SIZE]);
/* Writes the key of the row of KIND, one of the three job rows, to OUT.  */
void vw_make_key (char out[VW_KEY_SIZE], const char *id, enum vw_row kind);
const char *vw_lease_key (void);
/* Returns the job, owned by V, or NULL.  */
struct vw_job *vw_find (const struct vw_view *v, const char *id);
/* Whether a caller with ACCOUNT, NULL without a key, may see and cancel J.  A
   job that was submitted without a key belongs to every caller.  */
int vw_belongs_to (const struct vw_job *j, const char *account);
/* Whether J was submitted by ACCOUNT, NULL without a key.  */
int vw_is_of_account (const struct vw_job *j, const char *account);
/* Applies one row.  Returns its job, owned by V, or NULL if the row was
   deleted or is of no job.  */
struct vw_job *vw_apply_row (struct vw_view *v, const char *key,
                             const char *value, int64_t version, int deleted,
                             int generation);
/* Removes the jobs that the full scan GENERATION did not see.  */
void vw_remove_unseen (struct vw_view *v, int generation);
/* Returns the number of jobs of QUEUE that are queued and not cancelled.  */
int vw_count_waiting (const struct vw_view *v, const char *queue);
/* Copies to OUT up to MAX ids of jobs that ended before BEFORE_MS on the
   store's clock, and returns their number.  */
int vw_expired_jobs (const struct vw_view *v, int64_t before_ms,
                     char (*out)[SJ_ID_SIZE], int max);

/* Return the values of rows, to be released with free.  */
char *vw_job_value (const struct sj_job *job, int64_t accepted_ms);
char *vw_state_value (enum sj_state state, int64_t at_ms);

#endif
