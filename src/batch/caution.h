/* How a lease holder decides after terms that ended by a crash of the process.
   Does no I/O: a part of the lease row.  See docs/design/short-terms.md.  */
#ifndef SKR_BATCH_CAUTION_H
#define SKR_BATCH_CAUTION_H

#include <jansson.h>
#include <stdint.h>

#include "skr/steps.h"

enum
{
  CA_MAX_SUSPENDED = 64, /* jobs */
  CA_SHORT_MS = 60000    /* an end later than this has another cause */
};

struct ca_caution
{
  int ends;     /* short terms in a row that ended by a crash */
  int returned; /* parts of the decisions that are on again after that */
  int patience; /* how often the calm time was doubled */
  int count;    /* of jobs in SUSPENDED */
  int tried;    /* the last ones of these, which are put back on trial */
  char suspended[CA_MAX_SUSPENDED][SJ_ID_SIZE];
};

/* Reads member "caution" of a lease row; NULL: there is none.  */
void ca_read (struct ca_caution *c, const json_t *value);
/* The member to write, a new reference, or NULL if there is nothing to
   tell.  */
json_t *ca_write (const struct ca_caution *c);

/* The term before ended by a crash within CA_SHORT_MS, while it worked on job
   ID ("": on none).  Returns how many further jobs, whose records changed
   last, must be suspended.  */
int ca_note_crash (struct ca_caution *c, const char *id);
/* Suspends job ID, if there is a place and it is not yet.  Returns 1 if it
   was added.  */
int ca_suspend (struct ca_caution *c, const char *id);
/* Puts job ID back.  Returns 0 if it was not suspended.  */
int ca_resume (struct ca_caution *c, const char *id);
/* Whether job ID is not to be loaded.  */
int ca_is_suspended (const struct ca_caution *c, const char *id);
/* The parts of the decisions that are on, as for sj_set_parts.  */
unsigned ca_parts (const struct ca_caution *c);

enum ca_step
{
  CA_NONE,
  CA_PARTS, /* ca_parts has changed */
  CA_RELOAD /* jobs were put back: the next term loads them */
};
/* The time without a crash after which ca_step is due.  */
int64_t ca_calm_ms (const struct ca_caution *c);
/* Takes a step back to the full decisions.  */
enum ca_step ca_step (struct ca_caution *c);

#endif
