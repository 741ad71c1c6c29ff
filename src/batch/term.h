/* The rules of a term as lease holder, after terms that ended by a crash.  */
#ifndef SKR_BATCH_TERM_H
#define SKR_BATCH_TERM_H

#include "batch/batch.h"

/* The lease was acquired and the scheduler created.  */
void te_begin (struct batch *b);
/* The term ends.  */
void te_end (struct batch *b);
/* While loading: the record of job ID has a row of VERSION.  */
void te_note_version (struct batch *b, const char *id, int64_t version);
/* All records are loaded and no job is added yet: suspends the jobs whose
   records changed last, as many as the term has to.  */
void te_suspend_latest (struct batch *b);
/* Takes the step back to the full decisions that is due.  */
void te_tick (struct batch *b);
/* Has the lease released, so that the next term loads all jobs that are not
   suspended.  */
void te_reload (struct batch *b);
/* An operator resumes job ID.  Returns 0 if this VM has not suspended it.  */
int te_resume (struct batch *b, const char *id);

#endif
