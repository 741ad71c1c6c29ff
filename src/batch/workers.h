/* Interface between the files that talk to workers.  */
#ifndef SKR_BATCH_WORKERS_H
#define SKR_BATCH_WORKERS_H

#include "batch/batch.h"

/* workers.c */
/* Returns the worker, or NULL.  */
struct ba_worker *wk_find (struct batch *b, const char *id);
/* Returns a lower bound of the worker's clock now, in milliseconds.  */
int64_t wk_clock_now_ms (const struct batch *b, const struct ba_worker *w);
/* Returns the local time at which a lease of MS that is sent now has
   certainly ended.  */
int64_t wk_lease_end_bound_ms (const struct batch *b, int64_t ms);
/* Records the worker's clock as received now; 0 is ignored.  */
void wk_set_clock (struct batch *b, struct ba_worker *w, int64_t clock_ms);
/* Whether O went to the present incarnation of W, at its present address, as
   far as they are known.  */
int wk_is_current (const struct ba_worker *w, const struct ba_order *o);
/* Logs a change in what is known of W.  */
void wk_log_state (const struct ba_worker *w, const char *state,
                   const char *reason);
/* Record that a request to W was not answered, or was answered.  */
void wk_note_no_reply (struct batch *b, struct ba_worker *w);
void wk_note_reply (struct batch *b, struct ba_worker *w);
/* Notes if A, the answer to O, tells that another worker answers at W's
   present address.  */
void wk_check_replaced (struct batch *b, struct ba_worker *w,
                        const struct ba_order *o,
                        const struct po_order_answer *a);
/* The target of O, which is about to be sent to W; notes its token in O.  */
struct po_target wk_target (const struct batch *b, const struct ba_worker *w,
                            struct ba_order *o);
/* Whether the present token is higher than those of all orders to earlier
   incarnations of W, so that W refuses these once it has seen it.  */
int wk_is_fenced (const struct batch *b, const struct ba_worker *w);
/* Ends the term and returns 1 if the worker that answered O with A has seen
   another holder's fencing token.  */
int wk_check_fence (struct batch *b, const struct ba_order *o,
                    const struct po_order_answer *a);
/* Resets what is known of W after it restarted.  */
void wk_begin_incarnation (struct batch *b, struct ba_worker *w,
                           int64_t incarnation);

/* orders.c */
/* Returns a new order to WORKER, to be released with wk_free_order.  */
struct ba_order *wk_new_order (struct batch *b, const char *worker);

#endif
