/* The upstreams that one entry VM knows, and the slots of them that it may
   use.

   The holder of a cell grants slots for a short time.  Without a valid grant
   each slot of a worker belongs to the entry VM that a rendezvous hash
   selects, so that VMs with the same VM list never use a slot twice.  While
   their lists differ, a worker that is full answers 429, which proves that
   it did not run the call.  */
#ifndef FILTER_POOL_H
#define FILTER_POOL_H

#include <gsl/gsl_rng.h>
#include <stdint.h>

#include "filter/error.h"
#include "skr/config.h"
#include "skr/peer.h"

enum
{
  FL_POOL_MAX_UPSTREAMS = 1024, /* upstreams */
  FL_POOL_MAX_ENTRIES = 64,     /* entry VMs that share the slots */
  FL_POOL_EJECT_FAILURES = 5,   /* consecutive failures before an ejection */
  FL_POOL_EJECT_MS = 5000,      /* first ejection; doubles each time */
  FL_POOL_EJECT_MAX_MS = 60000,
  FL_POOL_UNREACHED_EJECT_MS = 1000, /* after each failed connection */
  FL_POOL_BUSY_MS = 100,             /* no new calls after its 429 */
  FL_POOL_MIN_OPEN_PERCENT = 50,     /* of the open upstreams stay in use */
  FL_POOL_LEAVING_MS = 60000,        /* validity of an upstream's own notice */
  FL_POOL_NONE = -1
};

struct fl_upstream
{
  char id[PR_ID_SIZE], address[PR_ADDRESS_SIZE], cell[PR_ID_SIZE];
  int in_use;  /* this entry of the array is in use */
  int listed;  /* in the last VM list */
  int leaving; /* according to that list */
  int slots, connections;
  int share_slots, share_connections; /* by the hash, used without a grant */
  int granted_slots, granted_connections;
  int64_t granted_until_ms;
  int in_flight;
  int failures, ejections;
  int64_t ejected_until_ms;
  int64_t leaving_until_ms; /* after its 503 */
  int64_t busy_until_ms;    /* after its 429 */
};

struct fl_grant
{
  char cell[PR_ID_SIZE];
  int64_t epoch, until_ms;
};

struct fl_pool
{
  char self[PR_ID_SIZE];
  struct fl_upstream up[FL_POOL_MAX_UPSTREAMS];
  int count;
  char entry[FL_POOL_MAX_ENTRIES][PR_ID_SIZE];
  int entries;
  struct fl_grant grant[CF_MAX_CELLS];
  int grants;
};

/* One VM of the VM list.  Strings are the caller's.  */
struct fl_vm
{
  const char *id, *address, *cell;
  int is_entry, leaving;
  int slots, connections;
};

enum fl_outcome
{
  FL_OUTCOME_OK,
  FL_OUTCOME_BUSY,      /* 429: no free slot; the call was not run */
  FL_OUTCOME_LEAVING,   /* 503: it takes no new calls */
  FL_OUTCOME_UNREACHED, /* the request could not be sent */
  FL_OUTCOME_FAILED     /* the answer is lost, or the call failed */
};

void fl_pool_init (struct fl_pool *p, const char *self);
/* Replaces the VM list by COUNT entries of VM.  Returns 0, or FL_EFULL when
   workers were left out because P is full.  */
int fl_pool_set_vms (struct fl_pool *p, const struct fl_vm *vm, int count);
/* Applies a cell's grant.  Returns 0, FL_EFULL when there are too many cells,
   or FL_ESTALE when the epoch is lower than one seen before or the grant has
   already expired.  */
int fl_pool_apply_grant (struct fl_pool *p, const struct pr_credits *credits,
                         int64_t now_ms);
/* Returns how many slots of upstream I this VM may use at NOW_MS; 0 when the
   upstream gets no new calls.  */
int fl_pool_allowed_slots (const struct fl_pool *p, int i, int64_t now_ms);
/* Takes a slot of the less busy of two random upstreams with a free one.
   AVOID is used only when no other has a free slot.  Returns the upstream's
   handle, FL_EBUSY when no slot is free, or FL_ENOENT when no
   upstream accepts new calls.  */
int fl_pool_acquire (struct fl_pool *p, int64_t now_ms, int avoid,
                     const gsl_rng *rng);
/* Returns a slot of upstream I.  OUTCOME, the result of the call, decides
   whether the upstream is ejected or paused.  */
void fl_pool_release (struct fl_pool *p, int i, enum fl_outcome outcome,
                      int64_t now_ms);

#endif
