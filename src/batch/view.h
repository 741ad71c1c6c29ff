/* What the job table tells of each job, kept small: enough to answer
   callers from memory.  Pure.  */
#ifndef SKR_BATCH_VIEW_H
#define SKR_BATCH_VIEW_H

#include <glib.h>

#include "skr/steps.h"

enum
{
  VW_KEY_SIZE = 24 /* bytes of a key: an id, a dot and a letter */
};

struct vw_job
{
  char id[SJ_ID];
  char *queue, *account;
  int64_t version;     /* of its row; 0: only other rows were seen */
  int64_t accepted_ms; /* of the store's clock */
  int64_t ended_ms;    /* of the store's clock; 0 while not ended */
  enum sj_state state;
  int cancelled; /* a caller asked for it */
  int generation;
};

struct vw_view
{
  GHashTable *jobs;
};

/* What a row of the job table is about.  */
enum vw_row
{
  VW_JOB,    /* the job itself */
  VW_STATE,  /* the state that callers are shown */
  VW_CANCEL, /* the wish to cancel it */
  VW_LEASE,  /* the scheduler's lease */
  VW_OTHER
};

void vw_init (struct vw_view *v);
void vw_fini (struct vw_view *v);
/* Tells the kind of row of KEY and copies the job's id.  */
enum vw_row vw_parse_key (const char *key, char id[SJ_ID]);
void vw_make_key (char out[VW_KEY_SIZE], const char *id, enum vw_row kind);
const char *vw_lease_key (void);
struct vw_job *vw_find (const struct vw_view *v, const char *id);
/* Takes one row in; the job it is about, or NULL.  */
struct vw_job *vw_apply_row (struct vw_view *v, const char *key,
                             const char *value, int64_t version, int deleted,
                             int generation);
/* Drops jobs not seen in the whole reading GENERATION.  */
void vw_remove_unseen (struct vw_view *v, int generation);
int vw_count_waiting (const struct vw_view *v, const char *queue);
/* Up to MAX ids of jobs that ended before store time BEFORE_MS.  */
int vw_expired_jobs (const struct vw_view *v, int64_t before_ms,
                     char (*out)[SJ_ID], int max);

/* Values of the rows; free by free.  */
char *vw_job_value (const struct sj_job *job, int64_t accepted_ms);
char *vw_state_value (enum sj_state state, int64_t at_ms);

#endif
