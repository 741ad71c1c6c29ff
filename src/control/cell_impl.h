/* Functions shared between the source files of the cell controller.  */
#ifndef CONTROL_CELL_IMPL_H
#define CONTROL_CELL_IMPL_H

#include "control/cell.h"

/* cell.c */
void cl_lease_lost (struct cl_cell *c);
void cl_start_tenure (struct cl_cell *c);
double cl_random (struct cl_cell *c);

/* cell_rows.c */
void cl_mark_dirty (struct cl_cell *c, struct jb_job *job);
/* Returns the queue of the most urgent class with unwritten rows, or NULL.  */
GQueue *cl_next_dirty_queue (struct cl_cell *c);
void cl_add_rows (struct cl_cell *c, struct tb_txn *txn);
void cl_rows_written (struct cl_cell *c, int64_t rev);
void cl_rows_write_failed (struct cl_cell *c);
/* Merges the newer row of a job that failed a version check.  TABLE is the
   cell's own job table or the one that the job moves to.  */
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
/* Announces the worker and its resources to the decision layer.  */
void cl_announce_worker (struct cl_cell *c, uint32_t worker);
void cl_announce_worker_state (struct cl_cell *c, enum dc_event_kind kind,
                               uint32_t worker);

/* cell_report.c */
void cl_read_task_list (struct cl_cell *c, uint32_t worker, int64_t asked_ms,
                        const json_t *tasks);

/* cell_gang.c */
/* Returns the attempt of JOB that has a part on WORKER, or NULL.  */
struct wk_gang *cl_find_gang (struct cl_cell *c, const char *job,
                              int32_t attempt, uint32_t worker);
struct wk_gang *cl_add_gang (struct cl_cell *c, const char *job,
                             int32_t attempt, int tasks,
                             const struct dc_place *place);
/* Sets the owner of all attempts of JOB.  OWNER is NULL when the job is
   removed from memory.  */
void cl_set_gang_owner (struct cl_cell *c, const char *job,
                        struct jb_job *owner);
/* Stops the current attempt of JOB and detaches it from JOB.  */
void cl_stop_gang (struct cl_cell *c, struct jb_job *job);
void cl_gangs_step (struct cl_cell *c);
void cl_free_gang (void *gang);
/* Returns the gangs with a part on WORKER; the array belongs to C.  */
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
/* Queues the job for submission by cl_jobs_step after DELAY_MS.  */
void cl_queue_job (struct cl_cell *c, struct jb_job *job, int64_t delay_ms);
void cl_submit (struct cl_cell *c, struct jb_job *job);
/* Withdraws the job from the decision layer as if its current attempt had
   never been made, and submits it again after DELAY_MS.  */
void cl_resubmit (struct cl_cell *c, struct jb_job *job, int64_t delay_ms);
void cl_check_cancel (struct cl_cell *c, struct jb_job *job);
void cl_set_state (struct cl_cell *c, struct jb_job *job, enum jb_state state,
                   const char *reason);
void cl_drop_handle (struct cl_cell *c, struct jb_job *job);
void cl_jobs_step (struct cl_cell *c);
void cl_row_written (struct cl_cell *c, struct jb_job *job);

/* Removes a job from memory.  Scans that return its row at VERSION or earlier
   are ignored.  */
void cl_drop_job (struct cl_cell *c, struct jb_job *job, int64_t version);
/* Removes the job from the decision layer and from the submission queue.  */
void cl_withdraw_job (struct cl_cell *c, struct jb_job *job);

/* cell_sweep.c */
enum
{
  CL_SWEEP_INTERVAL_MS = 10000, /* between two pages */
  CL_SWEEP_READ_ROWS = 64,      /* rows read per page */
  CL_SWEEP_DELETE_ROWS = 8      /* maximum rows deleted per page */
};
void cl_sweep_step (struct cl_cell *c);
void cl_sweep_begin (struct cl_cell *c);
/* Adds deletions of the expired rows to TXN.  Rows whose deletion fails are
   found again by the next pass.  */
void cl_add_deletes (struct cl_cell *c, struct tb_txn *txn);

/* cell_home.c */
void cl_relocate_step (struct cl_cell *c);
/* Fills CAPACITY with the total capacity of the workers that are up.  */
void cl_capacity (struct cl_cell *c, struct hm_capacity *capacity);
struct hm_demand cl_demand (const struct jb_job *job);

/* cell_doubt.c */
/* Handles TASK from a worker's task list.  If it has started although the
   job's row does not say so, the table was restored to an earlier state.  */
void cl_note_task_started (struct cl_cell *c, struct jb_job *job,
                           uint32_t worker, int32_t attempt,
                           const json_t *task);
/* Whether the job must not be repeated and may have run although its row says
   that it is queued.  */
int cl_may_have_run (const struct cl_cell *c, const struct jb_job *job);
/* Starts the handling of a restored table, and ends it once all rows are
   written again.  */
void cl_restore_step (struct cl_cell *c);
/* Handles a row that was read after a restore.  Returns 1 when the row needs
   no further processing.  */
int cl_restore_row (struct cl_cell *c, struct jb_job *job, int64_t version);
/* Handles the end of a full scan after a restore.  */
void cl_restore_scanned (struct cl_cell *c);

/* cell_decide.c */
void cl_apply_event (struct cl_cell *c, const struct dc_event *event);
void cl_decide (struct cl_cell *c);
void cl_apply_plans (struct cl_cell *c);
void cl_task_event (struct cl_cell *c, enum dc_event_kind kind,
                    const struct jb_job *job, int task);

/* cell_recover.c */
/* Creates the gang of a running job from the placement in its row, so that
   worker reports can be matched.  */
void cl_load_placement (struct cl_cell *c, struct jb_job *job);
void cl_recover_job (struct cl_cell *c, struct jb_job *job);
void cl_survey_begin (struct cl_cell *c);
int cl_survey_over (struct cl_cell *c);
void cl_recover (struct cl_cell *c);

#endif
