/* State of a worker as seen by the holder of its cell: whether the VM list
   names it, whether it is leaving, and whether it answers.  No I/O, no clock:
   times are monotonic milliseconds.  */
#ifndef CONTROL_MEMBER_H
#define CONTROL_MEMBER_H

#include <jansson.h>
#include <stdint.h>

#include "control/control.h"

enum mb_state
{
  MB_NEW, /* listed; has not answered yet */
  MB_UP,
  MB_LEAVING,
  MB_DOWN
};

enum mb_change
{
  MB_NONE,
  MB_JOINED,          /* became up */
  MB_STARTED_LEAVING, /* became leaving: it gets no new tasks */
  MB_LOST /* became down: its leases have expired, so its tasks have stopped */
};

/* Times for all workers of a cell, in milliseconds.  */
struct mb_times
{
  int64_t lease_ms; /* duration of task leases */
  /* Time without an answer after which leases are not renewed.  */
  int64_t suspect_after_ms;
  /* Longest time that a request is in flight.  */
  int64_t max_request_ms;
  int64_t poll_ms, poll_max_ms; /* shortest and longest poll interval */
};

struct mb_worker
{
  char id[CT_NAME], address[CT_ADDRESS], rack[CT_NAME];
  int32_t accelerators, slots, connections;
  enum mb_state state;
  /* LISTED is 2 while a new VM list is read and has named the worker.  */
  int listed, listed_leaving, reports_leaving;
  int64_t answered_ms; /* last answer; -1: never */
  /* When the last renewal that may have arrived was sent.  */
  int64_t renewed_ms;
  int64_t next_renew_ms, next_poll_ms;
  int64_t last_order_ms; /* when the last order was sent */
  int renewing, polling; /* a request is in flight */
  int64_t fenced_ms;     /* first answered renewal of this tenure; -1: none */
  int surveyed;          /* its task list was read after that */
  int announced;         /* announced to the decision layer */
};

/* Parses a worker of the VM list.  Returns CT_OK or CT_EINVAL.  */
int mb_parse (struct mb_worker *w, const json_t *vm);
/* Updates W from LISTED, its entry in a new VM list, or NULL if it is no
   longer listed.  */
void mb_update_listing (struct mb_worker *w, const struct mb_worker *listed);
/* Records an answer from W.  */
void mb_answered (struct mb_worker *w, int64_t now_ms);
/* Records whether W itself reports that it is leaving.  */
void mb_set_leaving (struct mb_worker *w, int leaving);
/* Whether a renewal may be sent.  The leases of a worker that has not answered
   for suspect_after_ms are left to expire, so that the time of their end is
   known.  */
int mb_may_renew (const struct mb_worker *w, int64_t now_ms,
                  const struct mb_times *times);
/* Records an order sent to W: it is polled at the shortest interval for a
   while.  */
void mb_order_sent (struct mb_worker *w, int64_t now_ms,
                    const struct mb_times *times);
/* Schedules the next poll.  The interval is a fraction of the time since the
   last order, so that the end of a task is noticed with a delay of a small
   fraction of its run time.  */
void mb_poll_sent (struct mb_worker *w, int64_t now_ms,
                   const struct mb_times *times);
/* Applies and returns the next change of state of W, if any.  */
enum mb_change mb_step (struct mb_worker *w, int64_t now_ms,
                        const struct mb_times *times);
/* Returns the time by which the last renewed leases have certainly
   expired.  */
int64_t mb_leases_end_ms (const struct mb_worker *w,
                          const struct mb_times *times);

#endif
