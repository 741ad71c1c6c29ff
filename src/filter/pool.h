/* The upstreams as one entry VM sees them, and its part of their slots.

   The holder of a cell grants slots for a short time.  Where no grant is in
   force, each slot of a worker belongs to the entry VM that a rendezvous
   hash names, so that VMs with the same list never use one slot twice; where
   lists differ for a moment the worker's own 429 is the proof that a call
   was not run.  */
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
  FL_POOL_EJECT_FAILURES = 5,   /* in a row before an ejection */
  FL_POOL_EJECT_MS = 5000,      /* the first; it doubles */
  FL_POOL_EJECT_MAX_MS = 60000,
  FL_POOL_UNREACHED_EJECT_MS = 1000, /* out of use after each such failure */
  FL_POOL_BUSY_MS = 100,             /* nothing new after its 429 */
  FL_POOL_MIN_OPEN_PERCENT = 50,     /* of upstreams that stay in use */
  FL_POOL_LEAVING_MS = 60000, /* an upstream's own word counts so long */
  FL_POOL_NONE = -1
};

struct fl_upstream
{
  char id[PR_ID], address[PR_ADDRESS], cell[PR_ID];
  int used;    /* this handle is in use */
  int listed;  /* named by the last VM list */
  int leaving; /* by that list */
  int slots, connections;
  int share_slots, share_connections; /* by the hash, without a grant */
  int granted_slots, granted_connections;
  int64_t granted_until_ms;
  int in_flight;
  int failures, ejections;
  int64_t ejected_until_ms;
  int64_t left_until_ms; /* it said itself that it leaves */
  int64_t busy_until_ms; /* it said that its slots are taken */
};

struct fl_grant
{
  char cell[PR_ID];
  int64_t epoch, until_ms;
};

struct fl_pool
{
  char self[PR_ID];
  struct fl_upstream up[FL_POOL_MAX_UPSTREAMS];
  int count;
  char entry[FL_POOL_MAX_ENTRIES][PR_ID];
  int entries;
  struct fl_grant grant[CF_MAX_CELLS];
  int grants;
};

/* One line of the VM list.  */
struct fl_vm
{
  const char *id, *address, *cell;
  int is_entry, leaving;
  int slots, connections;
};

enum fl_outcome
{
  FL_OUTCOME_OK,
  FL_OUTCOME_BUSY,      /* its 429 */
  FL_OUTCOME_LEAVING,   /* its 503 */
  FL_OUTCOME_UNREACHED, /* no connection, or none that took the request */
  FL_OUTCOME_FAILED     /* lost, or it fails what it runs */
};

void fl_pool_init (struct fl_pool *p, const char *self);
/* Replaces what the VM list says.  Returns 0 or FL_EFULL; the rest of a
   list that is too long is left out.  */
int fl_pool_list (struct fl_pool *p, const struct fl_vm *vm, int count);
/* Returns 0, FL_EFULL, or FL_ESTALE for a lower epoch than seen or a grant
   that has run out on its way.  */
int fl_pool_credits (struct fl_pool *p, const struct pr_credits *credits,
                     int64_t now_ms);
/* Slots of upstream I that may be in use at NOW_MS; 0 when it gets nothing
   new.  */
int fl_pool_allowed (const struct fl_pool *p, int i, int64_t now_ms);
/* Takes a slot: the less busy of two random upstreams that have one free,
   AVOID last.  Returns a handle, FL_EBUSY or FL_ENOENT.  */
int fl_pool_take (struct fl_pool *p, int64_t now_ms, int avoid,
                  const gsl_rng *rng);
/* Gives the slot back and learns from how it went.  */
void fl_pool_give (struct fl_pool *p, int i, enum fl_outcome outcome,
                   int64_t now_ms);

#endif
