/* Functions shared between the source files of the cell controller.  */
#ifndef CONTROL_CELL_IMPL_H
#define CONTROL_CELL_IMPL_H

#include "control/cell.h"

/* cell.c */
/* Ends the tenure after the loss or release of the lease.  */
void cl_lease_lost (struct cl_cell *c);
/* Starts a tenure, the time for which this process holds the lease, after the
   lease was acquired: loads the cell from scratch.  */
void cl_start_tenure (struct cl_cell *c);
/* Returns a random number in [0, 1).  */
double cl_random (struct cl_cell *c);

/* cell_rows.c */
/* Queues the row of JOB to be written.  */
void cl_mark_dirty (struct cl_cell *c, struct jb_job *job);
/* Returns the queue of the most urgent class with unwritten rows, or NULL.  */
GQueue *cl_next_dirty_queue (struct cl_cell *c);
/* Adds pending rows to TXN, within the limits of rows, bytes and rate.  */
void cl_add_rows (struct cl_cell *c, struct tb_txn *txn);
/* Handles the success of a transaction, which wrote its rows as revision
   REV.  */
void cl_rows_written (struct cl_cell *c, int64_t rev);
/* Queues the rows of a failed transaction again.  */
void cl_rows_write_failed (struct cl_cell *c);
/* Merges the newer row of a job that failed a version check.  TABLE is the
   cell's own job table or the one that the job moves to.  */
void cl_merge_conflict (struct cl_cell *c, const char *table,
                        struct jb_job *job, int64_t version,
                        const json_t *value);

/* cell_commit.c */
/* Starts the next transaction or re-read that is due.  For TAKE_DELAY_MS see
   cl_tick.  */
void cl_commit_step (struct cl_cell *c, int64_t take_delay_ms);

/* cell_workers.c */
/* Returns the worker with handle WORKER.  The pointer is valid until a worker
   is added.  */
struct mb_worker *cl_worker (struct cl_cell *c, uint32_t worker);
/* Returns the handle of the worker ID, or the number of workers.  */
uint32_t cl_find_worker (struct cl_cell *c, const char *id);
/* Returns the name of a worker; CELL is a struct cl_cell.  */
const char *cl_worker_name (void *cell, uint32_t worker);
/* Resets the workers at the start of a tenure.  */
void cl_workers_begin (struct cl_cell *c);
/* Updates the workers' states and sends the renewals and polls that are
   due.  */
void cl_workers_step (struct cl_cell *c);
/* Handles the answer to a renewal or poll.  */
void cl_worker_answered (struct cl_cell *c, const struct cl_ticket *t,
                         int answered, long status, const json_t *body);
/* Announces the worker and its resources to the decision layer.  */
void cl_announce_worker (struct cl_cell *c, uint32_t worker);
/* Passes a change of the worker's state to the decision layer.  */
void cl_announce_worker_state (struct cl_cell *c, enum dc_event_kind kind,
                               uint32_t worker);

/* cell_report.c */
/* Handles the task list of WORKER, requested at REQUESTED_MS.  */
void cl_read_task_list (struct cl_cell *c, uint32_t worker,
                        int64_t requested_ms, const json_t *tasks);

/* cell_gang.c */
/* Returns the attempt of JOB that has a part on WORKER, or NULL.  */
struct wk_gang *cl_find_gang (struct cl_cell *c, const char *job,
                              int32_t attempt, uint32_t worker);
/* Adds an attempt of JOB to the gangs of C.  Returns NULL if memory runs
   out.  */
struct wk_gang *cl_add_gang (struct cl_cell *c, const char *job,
                             int32_t attempt, int tasks,
                             const struct dc_place *place);
/* Sets the owner of all attempts of JOB.  OWNER is NULL when the job is
   removed from memory.  */
void cl_set_gang_owner (struct cl_cell *c, const char *job,
                        struct jb_job *owner);
/* Stops the current attempt of JOB and detaches it from JOB.  */
void cl_stop_gang (struct cl_cell *c, struct jb_job *job);
/* Advances all attempts, sends their orders and removes finished ones.  */
void cl_gangs_step (struct cl_cell *c);
void cl_free_gang (void *gang);
/* Returns the gangs with a part on WORKER; the array belongs to C.  */
GPtrArray *cl_worker_gangs (struct cl_cell *c, uint32_t worker);
void cl_free_array (void *list);

/* cell_order.c */
/* Sends the orders that are due for G.  JOB is its owner, or NULL.  */
void cl_send_orders (struct cl_cell *c, struct wk_gang *g,
                     const struct jb_job *job);
/* Handles the answer to an order to a part of a gang.  */
void cl_gang_order_done (struct cl_cell *c, const struct cl_ticket *t,
                         enum hc_outcome end, long status, const json_t *body);

/* cell_job.c */
/* Returns the handle of the account NAME, which is added if necessary.  */
uint32_t cl_account_handle (struct cl_cell *c, const char *name);
/* Return the job with that handle or id, or NULL.  */
struct jb_job *cl_job_by_handle (struct cl_cell *c, uint32_t handle);
struct jb_job *cl_find_job (struct cl_cell *c, const char *id);
/* Adds or updates the job ID from its row.  */
void cl_load_row (struct cl_cell *c, const char *id, json_t *value,
                  int64_t version);
/* Queues the job for submission by cl_jobs_step after DELAY_MS.  */
void cl_queue_job (struct cl_cell *c, struct jb_job *job, int64_t delay_ms);
/* Submits the job to the decision layer.  */
void cl_submit (struct cl_cell *c, struct jb_job *job);
/* Withdraws the job from the decision layer as if its current attempt had
   never been made, and submits it again after DELAY_MS.  */
void cl_resubmit (struct cl_cell *c, struct jb_job *job, int64_t delay_ms);
/* Passes a requested cancellation of the job to the decision layer.  */
void cl_check_cancel (struct cl_cell *c, struct jb_job *job);
/* Sets the job's state and queues its row.  REASON may be NULL.  */
void cl_set_state (struct cl_cell *c, struct jb_job *job, enum jb_state state,
                   const char *reason);
/* Releases the handle of a job that the decision layer no longer has.  */
void cl_drop_handle (struct cl_cell *c, struct jb_job *job);
/* Submits the queued jobs that are due.  */
void cl_jobs_step (struct cl_cell *c);
/* Handles the write of the job's current row.  */
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
/* Starts the next page of the sweep when it is due.  */
void cl_sweep_step (struct cl_cell *c);
/* Schedules the first page of a tenure.  */
void cl_sweep_begin (struct cl_cell *c);
/* Adds deletions of the expired rows to TXN.  Rows whose deletion fails are
   found again by the next pass.  */
void cl_add_deletes (struct cl_cell *c, struct tb_txn *txn);

/* cell_relocate.c */
/* Checks all queued jobs for relocation when it is due.  */
void cl_relocate_step (struct cl_cell *c);
/* Fills CAPACITY with the total capacity of the workers that are up.  */
void cl_capacity (struct cl_cell *c, struct hm_capacity *capacity);
/* Returns what the job needs.  */
struct hm_demand cl_demand (const struct jb_job *job);

/* cell_restore.c */
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
/* Applies EVENT and carries out the actions that follow.  */
void cl_apply_event (struct cl_cell *c, const struct dc_event *event);
/* Lets the decision layer decide and carries out its actions.  */
void cl_decide (struct cl_cell *c);
/* Passes new plan lists to the decision layer.  */
void cl_apply_plans (struct cl_cell *c);
/* Applies an event of kind KIND for TASK of the job's current attempt.  */
void cl_task_event (struct cl_cell *c, enum dc_event_kind kind,
                    const struct jb_job *job, int task);

/* cell_recover.c */
/* Creates the gang of a running job from the placement in its row, so that
   worker reports can be matched.  */
void cl_load_placement (struct cl_cell *c, struct jb_job *job);
/* Resumes, requeues or ends one job that was loaded from its row.  */
void cl_recover_job (struct cl_cell *c, struct jb_job *job);
/* Starts polling all workers for their tasks.  */
void cl_survey_begin (struct cl_cell *c);
int cl_survey_is_complete (struct cl_cell *c);
/* Starts serving: recovers all loaded jobs in the order of their
   submission.  */
void cl_recover (struct cl_cell *c);

/* cell_loss.c */
/* Accounts for the running gangs that lost their part on WORKER; ALL: they all
   did, else those whose part is gone.  Jobs may end or be queued again by it,
   so that they have no gang any more.  */
void cl_note_gangs_lost (struct cl_cell *c, uint32_t worker, int all);
/* Accounts for the attempt of a job that can be repeated, which a new holder
   finds incomplete.  Returns 1 if the job was given up and has ended.  */
int cl_note_attempt_lost (struct cl_cell *c, struct jb_job *job);

#endif
