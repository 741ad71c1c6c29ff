/* Failure domains that operators have evacuated.  No work may be started in a
   closed domain.  Does no I/O and reads no clock: times are milliseconds of
   the caller's monotonic clock.  A zeroed struct dm_domains is empty.  */
#ifndef SKR_DOMAINS_H
#define SKR_DOMAINS_H

#include <stdint.h>

enum
{
  /* Before the time within which a request must take effect: covers the delay
     of a decision round and of the order that it sends.  */
  DM_ORDER_ALLOWANCE_MS = 2000,
  /* The worker's clock, on which a start's deadline is set, may run 2 % slow
     for the 4 s since it was read and the 2.5 s until the deadline.  */
  DM_CLOCK_ERROR_MS = 200
};

/* A closed domain.  */
struct dm_domain
{
  char *name;
  int64_t version;   /* of the request's row */
  int64_t closed_ms; /* when this process learned of the request */
  int generation;    /* of the last full scan that listed the request */
};

/* Few domains are closed at a time, so that they are searched in order.  */
struct dm_domains
{
  struct dm_domain *closed;
  int count, allocated;
};

enum dm_outcome
{
  DM_CLOSED,    /* the domain was open before */
  DM_LISTED,    /* the known request, delivered again by a scan */
  DM_REPEATED,  /* a further request for a closed domain */
  DM_REOPENED,  /* the request was withdrawn */
  DM_NOT_FOUND, /* withdrawn, but the domain is open */
  DM_OUTDATED,  /* older than the known request */
  DM_NO_NAME    /* the domain's name is empty */
};

void dm_fini (struct dm_domains *d);
/* Applies a request of VERSION to close NAME, delivered in the course of full
   scan GENERATION or by a change after it.  */
enum dm_outcome dm_close (struct dm_domains *d, const char *name,
                          int64_t version, int generation, int64_t now);
/* Applies the withdrawal of the request, of VERSION.  */
enum dm_outcome dm_reopen (struct dm_domains *d, const char *name,
                           int64_t version);
/* Reopens a domain that the full scan GENERATION, which has ended, did not
   list.  Moves it to *OUT, whose name the caller releases with g_free.
   Returns 0 if there is none.  */
int dm_reopen_unlisted (struct dm_domains *d, int generation,
                        struct dm_domain *out);
/* The closed domain NAME, or NULL.  NAME may be NULL.  */
const struct dm_domain *dm_find (const struct dm_domains *d, const char *name);

/* Milliseconds after NOW within which a start must be executed, so that no
   start follows a request by more than EVACUATION_MS.  All requests up to
   CONFIRMED_MS are known; 0: none are.  Returns 0 if no start may be sent.
   Holds for deadlines on other clocks, up to DM_CLOCK_ERROR_MS.  */
int64_t dm_start_limit_ms (int64_t confirmed_ms, int64_t evacuation_ms,
                           int64_t now);

#endif
