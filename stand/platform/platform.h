/* State of the stand-in for the platform, which is in memory only.  */
#ifndef PLATFORM_H
#define PLATFORM_H

#include <glib.h>
#include <gsl/gsl_rng.h>
#include <pthread.h>

#include "../common/serve.h"
#include "store.h"

enum
{
  SP_MAX_OBJECT_BYTES = 1 << 20, /* bytes */
  SP_DEFAULT_SCAN_ROWS = 1000,   /* rows of a scan without "limit" */
  SP_MAX_SCAN_ROWS = 10000,      /* rows of a scan */
  SP_HOLD_POLL_MS = 5            /* poll interval of held answers */
};

struct sp_settings
{
  const char *listen;
  int64_t writes_per_second; /* 0: no limit */
  int64_t list_lag_ms;       /* age of the VM list */
  int64_t seed;              /* of the random faults */
};

/* Fault that is in force.  */
enum sp_mode
{
  SP_MODE_OK,
  SP_MODE_DOWN,   /* every request is refused with 503 */
  SP_MODE_SILENT, /* connections open when it was set get no answer */
  SP_MODE_SLOW,   /* requests are delayed by slow_ms */
  SP_MODE_LOST,   /* lost_percent of the writes are applied, not answered */
  SP_MODE_HOLD,   /* writes are applied, and their answers held back */
  SP_MODE_MUTE    /* no request gets an answer */
};

struct sp_counters
{
  int64_t reads, writes;
  int64_t rows;          /* rows put or deleted by transactions */
  int64_t refused;       /* writes over the rate limit */
  int64_t held;          /* answers that are held back now */
  int64_t second;        /* current second of the clock */
  int64_t writes_now;    /* in the current second */
  int64_t writes_max_1s; /* most writes in one second */
};

struct sp_platform
{
  struct sv_server server;
  struct sp_settings settings;
  pthread_mutex_t lock; /* protects the fields below */
  struct sp_store store, snapshot;
  int has_snapshot;
  GHashTable *objects; /* name to GBytes */
  json_t *vms;         /* id to VM, the current list */
  GQueue *vm_lists;    /* versions of the VM list, newest at the head */
  enum sp_mode mode;
  int64_t slow_ms, lost_percent, list_lag_ms;
  struct sp_counters counters;
  double tokens;       /* writes that the rate limit allows now */
  int64_t refilled_ms; /* time of the last refill of TOKENS */
  gsl_rng *rng;
};

/* Initializes everything but the server.  */
void sp_init (struct sp_platform *sp, const struct sp_settings *settings);
/* Releases everything but the server.  */
void sp_fini (struct sp_platform *sp);
/* Handles a request; a sv_handle with a struct sp_platform.  */
void sp_handle (void *arg, const struct sv_request *request,
                struct sv_reply *reply);
/* Handles requests below /v1/admin/; PATH is the part after it.  Call without
   the lock.  */
void sp_admin (struct sp_platform *sp, const char *path,
               const struct sv_request *request, struct sv_reply *reply);
/* Returns the VM list as it was list_lag_ms ago, as a new reference.  Call
   with the lock held.  */
json_t *sp_lagging_vms (struct sp_platform *sp);
/* Records a new version of the VM list after a change of SP->vms.  Call with
   the lock held.  */
void sp_record_vms (struct sp_platform *sp);
/* Frees the versions of the VM list.  */
void sp_vm_lists_fini (struct sp_platform *sp);

#endif
