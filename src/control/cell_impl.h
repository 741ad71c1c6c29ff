/* What the parts of the cell's controller share.  */
#ifndef CONTROL_CELL_IMPL_H
#define CONTROL_CELL_IMPL_H

#include "control/cell.h"

/* cell.c */
void cl_lease_lost (struct cl_cell *c);
void cl_start_tenure (struct cl_cell *c);
double cl_random (struct cl_cell *c);

/* cell_rows.c */
void cl_mark_dirty (struct cl_cell *c, struct jb_job *job);
/* The queue of the row to be written next, or NULL.  */
GQueue *cl_next_dirty_queue (struct cl_cell *c);
void cl_add_rows (struct cl_cell *c, struct tb_txn *txn);
void cl_rows_written (struct cl_cell *c, int64_t rev);
void cl_rows_write_failed (struct cl_cell *c);
/* Takes in the newer row of one job, in the cell's table or the one that it
   goes to.  */
void cl_merge_conflict (struct cl_cell *c, const char *table,
                        struct jb_job *job, int64_t version,
                        const json_t *value);

/* cell_commit.c */
void cl_commit_step (struct cl_cell *c, int64_t take_delay_ms);

/* cell_fleet.c */
struct mb_worker *cl_worker (struct cl_cell *c, uint32_t worker);
uint32_t cl_find_worker (struct cl_cell *c, const char *id);
const char *cl_worker_name (void *cell, uint32_t worker);
void cl_workers_begin (struct cl_cell *c);
void cl_workers_step (struct cl_cell *c);
void cl_worker_answered (struct cl_cell *c, const struct cl_ticket *t,
                         int answered, long status, const json_t *body);
/* Tells the decision layer that a worker is there.  */
void cl_announce_worker (struct cl_cell *c, uint32_t worker);
void cl_announce_worker_state (struct cl_cell *c, enum dc_event_kind kind,
                               uint32_t worker);

/* cell_report.c */
void cl_read_task_list (struct cl_cell *c, uint32_t worker, int64_t asked_ms,
                        const json_t *tasks);

/* cell_gang.c */
/* The attempt that has a part on WORKER, or NULL.  */
struct wk_gang *cl_find_gang (struct cl_cell *c, const char *job,
                              int32_t attempt, uint32_t worker);
struct wk_gang *cl_add_gang (struct cl_cell *c, const char *job,
                             int32_t attempt, int tasks,
                             const struct dc_place *place);
/* The job of that id has come into memory, or goes (OWNER is NULL).  */
void cl_set_gang_owner (struct cl_cell *c, const char *job,
                        struct jb_job *owner);
/* Ends JOB's attempt and parts it from JOB.  */
void cl_stop_gang (struct cl_cell *c, struct jb_job *job);
void cl_gangs_step (struct cl_cell *c);
void cl_free_gang (void *gang);
/* The gangs with a part on WORKER.  */
GPtrArray *cl_worker_gangs (struct cl_cell *c, uint32_t worker);
void cl_free_array (void *list);

/* cell_order.c */
void cl_send_orders (struct cl_cell *c, struct wk_gang *g,
                     const struct jb_job *job);
void cl_part_done (struct cl_cell *c, const struct cl_ticket *t,
                   enum hc_end end, long status, const json_t *body);

/* cell_job.c */
uint32_t cl_account_handle (struct cl_cell *c, const char *name);
struct jb_job *cl_job_by_handle (struct cl_cell *c, uint32_t handle);
struct jb_job *cl_find_job (struct cl_cell *c, const char *id);
void cl_load_row (struct cl_cell *c, const char *id, json_t *value,
                  int64_t version);
/* Lets the job wait for cl_jobs_step to give it to the decision layer.  */
void cl_queue_job (struct cl_cell *c, struct jb_job *job, int64_t delay_ms);
void cl_submit (struct cl_cell *c, struct jb_job *job);
/* Takes the job back from the decision layer as if this attempt had never
   been, and gives it in again after DELAY_MS.  */
void cl_resubmit (struct cl_cell *c, struct jb_job *job, int64_t delay_ms);
void cl_check_cancel (struct cl_cell *c, struct jb_job *job);
void cl_set_state (struct cl_cell *c, struct jb_job *job, enum jb_state state,
                   const char *reason);
void cl_drop_handle (struct cl_cell *c, struct jb_job *job);
void cl_jobs_step (struct cl_cell *c);
void cl_row_written (struct cl_cell *c, struct jb_job *job);

/* Lets go of a job whose row stands in the table as VERSION or later.  */
void cl_drop_job (struct cl_cell *c, struct jb_job *job, int64_t version);
/* The job is to be neither given to the decision layer nor kept there.  */
void cl_withdraw_job (struct cl_cell *c, struct jb_job *job);

/* cell_sweep.c */
enum
{
  CL_SWEEP_INTERVAL_MS = 10000, /* between two groups */
  CL_SWEEP_READ_ROWS = 64,      /* rows read for one */
  CL_SWEEP_DELETE_ROWS = 8      /* rows deleted at most for one */
};
void cl_sweep_step (struct cl_cell *c);
void cl_sweep_begin (struct cl_cell *c);
/* Adds the rows that are to go to TXN; what of them is not written is found
   again in the next round.  */
void cl_add_deletes (struct cl_cell *c, struct tb_txn *txn);

/* cell_home.c */
void cl_relocate_step (struct cl_cell *c);
/* What the workers that are up hold when empty.  */
void cl_capacity (struct cl_cell *c, struct hm_capacity *room);
struct hm_demand cl_demand (const struct jb_job *job);

/* cell_doubt.c */
/* A worker tells of a task whose job's row may not know that it began.  */
void cl_note_task_started (struct cl_cell *c, struct jb_job *job,
                           uint32_t worker, int32_t attempt,
                           const json_t *task);
/* Whether what may not be repeated may have run although its row says that it
   waits.  */
int cl_may_have_run (const struct cl_cell *c, const struct jb_job *job);
/* Notes a doubt that has come up, and its end.  */
void cl_restore_step (struct cl_cell *c);
/* A row was read while in doubt; returns 1 when nothing more is to be done. */
int cl_restore_row (struct cl_cell *c, struct jb_job *job, int64_t version);
/* All rows were read.  */
void cl_restore_scanned (struct cl_cell *c);

/* cell_decide.c */
void cl_apply_event (struct cl_cell *c, const struct dc_event *event);
void cl_decide (struct cl_cell *c);
void cl_apply_plans (struct cl_cell *c);
void cl_task_event (struct cl_cell *c, enum dc_event_kind kind,
                    const struct jb_job *job, int task);

/* cell_recover.c */
/* Prepares for what the workers of a running job will say.  */
void cl_load_placement (struct cl_cell *c, struct jb_job *job);
void cl_recover_job (struct cl_cell *c, struct jb_job *job);
void cl_survey_begin (struct cl_cell *c);
int cl_survey_over (struct cl_cell *c);
void cl_recover (struct cl_cell *c);

#endif
