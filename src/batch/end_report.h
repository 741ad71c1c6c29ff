/* A row that the lease holder writes when a signal ends it, so that the next
   holder knows that it was not killed.  */
#ifndef SKR_BATCH_END_REPORT_H
#define SKR_BATCH_END_REPORT_H

#include <stdint.h>

#include "batch/lease.h"

/* From now on a crash is reported to STORE ("IP:PORT") for the lease of
   process TOKEN.  To be called at the start of a term, and after a step back
   to the full decisions, with the time NOW_MS of the clock of bs_clock_boot.
 */
void er_begin (const char *store, const char *token, int64_t now_ms);
/* The term has ended.  */
void er_end (void);

/* Key of the row in the table "jobs".  */
const char *er_key (void);
/* Reads the row's value.  */
void er_read (struct le_end *end, const char *value);

#endif
