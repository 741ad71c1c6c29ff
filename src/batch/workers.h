/* What the files of the holder's talk with workers share.  */
#ifndef SKR_BATCH_WORKERS_H
#define SKR_BATCH_WORKERS_H

#include "batch/batch.h"

/* workers.c */
struct ba_worker *wk_find (struct batch *b, const char *id);
/* What its clock shows now, or a little less.  */
int64_t wk_clock_now_ms (const struct batch *b, const struct ba_worker *w);
/* On this clock, when a lease of MS that is sent now has surely ended.  */
int64_t wk_lease_end_bound_ms (const struct batch *b, int64_t ms);
void wk_set_clock (struct batch *b, struct ba_worker *w, int64_t clock_ms);
void wk_log_state (const struct ba_worker *w, const char *state,
                   const char *reason);
/* A question was not answered, or one was.  */
void wk_note_no_reply (struct batch *b, struct ba_worker *w);
void wk_note_reply (struct batch *b, struct ba_worker *w);
/* Steps down, and returns 1, when the worker has seen a higher token.  */
int wk_check_fence (struct batch *b, const struct po_order_answer *a);
void wk_begin_incarnation (struct batch *b, struct ba_worker *w,
                           int64_t incarnation);

/* orders.c */
struct ba_order *wk_new_order (struct batch *b, const struct ba_worker *w);

#endif
