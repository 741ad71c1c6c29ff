/* Model of the submitted jobs and their runs on the workers.  It checks the
   guarantees of the scheduler, and prints and counts every violation.  */
#ifndef SOAK_JOB_MODEL_H
#define SOAK_JOB_MODEL_H

#include <glib.h>

#include "platform/stand/fake_platform.h"

enum
{
  BK_MAX_STEPS = 3,
  BK_MAX_TASKS = 8,
  BK_CANCEL_GRACE_MS = 10000, /* after its acknowledgement no task starts */
  BK_VISIBILITY_MS = 3000     /* after acceptance every VM knows the job */
};

struct bk_task
{
  int runs;              /* current runs on workers that are up */
  int done;              /* ends */
  int done_acknowledged; /* the scheduler acknowledged an end "done" */
  int failed;            /* ends */
  int failed_acknowledged;
  int crashes;         /* workers that ended while they ran it */
  int late_starts;     /* after three of those */
  int64_t last_number; /* highest number of a run */
};

struct bk_job
{
  struct sj_job *job;
  char *body;
  int64_t work_ms[BK_MAX_STEPS];
  int fails;       /* all its tasks fail */
  int is_aborting; /* ends the processes that decide on it */
  int is_deadly;   /* the first task of its first step crashes its workers */
  int accepted_submits, unanswered_submits; /* numbers of submit attempts */
  int submit_finished;                      /* no submit attempt follows */
  int64_t accepted_ms, cancel_sent_ms, cancelled_ms;
  int starts, ended;
  struct bk_task task[BK_MAX_STEPS][BK_MAX_TASKS];
};

struct bk_model
{
  pthread_mutex_t lock;
  GPtrArray *jobs; /* bk_job */
  GHashTable *by_id;
  int violations;
  int twice;       /* starts of a task while a run of it works */
  int gangs;       /* of four steps, on average */
  int none_deadly; /* no job crashes its workers */
  int64_t started_ms;
  uint64_t seed;
  GRand *deadly_rand;
};

void bk_init (struct bk_model *model, uint64_t seed);
void bk_fini (struct bk_model *model);
void bk_init_observer (struct bk_model *model, struct sf_observer *out);
/* Counts a violation and prints it in the format of printf.  */
void bk_report_violation (struct bk_model *model, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/* Creates a random job, which the model owns.  */
struct bk_job *bk_add_random_job (struct bk_model *model, GRand *rand);
/* Creates a job whose payload is "abort", which no client submits of itself.
 */
struct bk_job *bk_add_aborting_job (struct bk_model *model);
/* Returns a random job of the model, or NULL if it has none.  */
struct bk_job *bk_pick_job (struct bk_model *model, GRand *rand);
void bk_lock (struct bk_model *model);
void bk_unlock (struct bk_model *model);
/* Checks STATE, which a VM answered for job J.  */
void bk_check_state (struct bk_model *model, struct bk_job *j,
                     enum sj_state state);
/* Checks the answer of VM, to a request sent at SENT_MS, that J is
   unknown.  */
void bk_check_not_found (struct bk_model *model, struct bk_job *j,
                         int64_t sent_ms, const char *vm);
/* Returns the number of accepted jobs that have not ended.  */
int bk_count_open (struct bk_model *model);
/* Checks that every accepted job has ended and that no refused job ran.  */
void bk_check_end (struct bk_model *model);

#endif
