/* Ends of runs that a worker lists, and when they may be acknowledged.  Does
   no I/O: the caller passes in times, in milliseconds of one clock.

   An acknowledgement names the last end by its number, and an incarnation of
   the worker that starts later under the same id counts its ends anew.  Such
   an incarnation loses nothing by it if it has ended nothing, which is certain
   if it has been sent no start:
   - each start that was sent before the acknowledgement was answered before
     the listing was requested that the acknowledgement relies on;
   - each start that is sent after it has a higher fencing token, until the
     acknowledgement is answered.  Whoever has executed the start refuses the
     acknowledgement then, however late it arrives.  */
#ifndef SKR_BATCH_ACK_H
#define SKR_BATCH_ACK_H

#include <stdint.h>

/* Outcome of a request with an acknowledgement.  */
enum ak_outcome
{
  AK_FORGOTTEN, /* the worker has forgotten the ends */
  AK_NOT_DONE,  /* it has not, and won't by this request */
  AK_LOST       /* without an answer: it may do so at any later time */
};

/* Of one worker.  */
struct ak_ends
{
  int64_t received;        /* number of the last end received */
  int64_t received_serial; /* change of the records that it caused */
  int64_t waiting;         /* an end that waits until its record is stored */
  int64_t waiting_serial;
  int64_t stored;        /* last end whose record is stored */
  int64_t acked;         /* last end whose acknowledgement the worker got */
  int64_t stored_ms;     /* since when an end could be acknowledged */
  int64_t ack_token;     /* of the acknowledgement in progress; 0: none */
  int64_t lost_token;    /* of the last one that got no answer; 0: none */
  int starts_pending;    /* starts that wait to be sent or for an answer */
  int64_t start_serial;  /* counts the tries of starts */
  int64_t listed_serial; /* start_serial as the last listing was requested; -1:
                            a start was pending then */
  int64_t listed_ms;     /* when it was received */
  int useless_listings;  /* in a row, for starts sent since the request */
  int64_t open_until_ms; /* until then starts without an answer may be
                            executed */
  int is_held; /* an end may be of a job whose record can't be stored */
};

/* Initializes E.  Starts that an earlier holder sent, up to BEGAN_MS, may have
   no answer yet.  */
void ak_init (struct ak_ends *e, int64_t began_ms);
/* The worker counts its ends anew.  */
void ak_begin_incarnation (struct ak_ends *e);

/* A start is to be sent; a try of it is sent; a try got no answer; there will
   be no further try.  */
void ak_start_queued (struct ak_ends *e);
void ak_start_sent (struct ak_ends *e);
void ak_start_unanswered (struct ak_ends *e, int64_t now);
void ak_start_done (struct ak_ends *e);
/* Whether a start may be sent with TOKEN.  */
int ak_may_start (const struct ak_ends *e, int64_t token);

/* Returns what ak_listed is to be told of a listing that is requested now.  */
int64_t ak_listing_requested (const struct ak_ends *e);
/* A listing was received whose last end is LAST.  CHANGE_SERIAL is the
   scheduler's after it was applied.  IS_HELD: it has ends of jobs whose
   records can't be stored.  */
void ak_listed (struct ak_ends *e, int64_t requested_serial, int64_t last,
                int64_t change_serial, int is_held, int64_t now);
/* All changes of records up to STORED_SERIAL are stored.  */
void ak_stored (struct ak_ends *e, int64_t stored_serial, int64_t now);

/* Whether an end is to be acknowledged.  */
int ak_wants (const struct ak_ends *e);
/* Returns for how long an end could be acknowledged, if ak_wants.  */
int64_t ak_waited_ms (const struct ak_ends *e, int64_t now);
/* Returns the number that a request to the worker may acknowledge now, or
   0.  */
int64_t ak_number (const struct ak_ends *e, int64_t now);
/* Whether a listing that is requested now may make ak_number positive.  */
int ak_needs_listing (const struct ak_ends *e, int64_t now);
/* Whether the worker should get no starts, so that its ends can be
   acknowledged.  */
int ak_is_overdue (const struct ak_ends *e, int64_t now);
/* A request with the number NUMBER, or 0, was sent with TOKEN.  */
void ak_sent (struct ak_ends *e, int64_t number, int64_t token);
/* It has an outcome.  */
void ak_answered (struct ak_ends *e, int64_t number, enum ak_outcome outcome,
                  int64_t now);

#endif
