/* What one cell's holder knows of a worker: whether the list names it, what
   it says of itself, and whether it answers.  No I/O, no clock.  */
#ifndef CONTROL_MEMBER_H
#define CONTROL_MEMBER_H

#include <jansson.h>
#include <stdint.h>

#include "control/control.h"

enum mb_state
{
  MB_NEW, /* named by the list; it has not answered yet */
  MB_UP,
  MB_LEAVING,
  MB_DOWN
};

enum mb_change
{
  MB_NONE,
  MB_JOINED,          /* now up */
  MB_STARTED_LEAVING, /* now leaving: nothing new */
  MB_LOST             /* now down: its tasks have stopped by themselves */
};

/* Times that all workers of a cell share, in milliseconds.  */
struct mb_times
{
  int64_t lease_ms;         /* of tasks */
  int64_t suspect_after_ms; /* without an answer: renew no more */
  int64_t max_request_ms;   /* the longest that a request stays on its way */
  int64_t poll_ms, poll_max_ms; /* between two polls: least, most */
};

struct mb_worker
{
  char id[CT_NAME], address[CT_ADDRESS], rack[CT_NAME];
  int32_t accelerators, slots, connections;
  enum mb_state state;
  int listed, listed_leaving, reports_leaving;
  int64_t answered_ms; /* -1: never */
  int64_t renewed_ms;  /* when a renewal that may have arrived was sent */
  int64_t next_renew_ms, next_poll_ms;
  int64_t last_order_ms; /* last order to it */
  int renewing, polling; /* requests in flight */
  int64_t fenced_ms;     /* first renewal answered in this tenure; -1: none */
  int surveyed;          /* its tasks were listed after that */
  int announced;         /* the decision layer knows it */
};

/* Reads a worker of the VM list.  Returns 0 or CT_EINVAL.  */
int mb_parse (struct mb_worker *w, const json_t *vm);
/* The list names W as LISTED says now (NULL: no longer).  */
void mb_update_listing (struct mb_worker *w, const struct mb_worker *listed);
void mb_answered (struct mb_worker *w, int64_t now_ms);
void mb_set_leaving (struct mb_worker *w, int leaving);
/* Whether a renewal may be sent; once a worker is suspect its leases are left
   to lapse, so that the moment of their end is known.  */
int mb_may_renew (const struct mb_worker *w, int64_t now_ms,
                  const struct mb_times *times);
/* An order was sent to W: polls are close together for a while.  */
void mb_order_sent (struct mb_worker *w, int64_t now_ms,
                    const struct mb_times *times);
/* The next poll is due after a part of the time since W was last stirred, so
   that the end of a task is seen late by a small part of its run time.  */
void mb_poll_sent (struct mb_worker *w, int64_t now_ms,
                   const struct mb_times *times);
/* The next change of state, applied to W.  */
enum mb_change mb_step (struct mb_worker *w, int64_t now_ms,
                        const struct mb_times *times);
/* When leases that were renewed last have surely ended.  */
int64_t mb_leases_end_ms (const struct mb_worker *w,
                          const struct mb_times *times);

#endif
