/* State of the platform's stand-in.  Nothing is kept on disk.  */
#ifndef PLATFORM_H
#define PLATFORM_H

#include <glib.h>
#include <gsl/gsl_rng.h>
#include <pthread.h>

#include "../common/serve.h"
#include "store.h"

enum
{
  SP_MAX_OBJECT = 1 << 20, /* bytes */
  SP_DEFAULT_LIMIT = 1000, /* rows of a scan */
  SP_MAX_LIMIT = 10000,
  SP_HOLD_STEP_MS = 5
};

struct sp_settings
{
  const char *listen;
  int64_t writes_per_second; /* 0: no limit */
  int64_t list_lag_ms;
  int64_t seed; /* of the faults */
};

enum sp_mode
{
  SP_MODE_OK,
  SP_MODE_DOWN,
  SP_MODE_SILENT,
  SP_MODE_SLOW,
  SP_MODE_LOST,
  SP_MODE_HOLD /* writes are applied, their answers wait */
};

struct sp_counters
{
  int64_t reads, writes, ops;
  int64_t refused;       /* over the rate */
  int64_t held;          /* answers that wait now */
  int64_t second;        /* the one that WRITES_NOW counts in */
  int64_t writes_now;    /* in this second */
  int64_t writes_max_1s; /* in any one second */
};

struct sp_platform
{
  struct sv_server server;
  struct sp_settings settings;
  pthread_mutex_t lock; /* of all below */
  struct sp_store store, snapshot;
  int has_snapshot;
  GHashTable *objects; /* name to GBytes */
  json_t *vms;         /* id to VM, now */
  GQueue *lists;       /* older VM lists, newest at the head */
  enum sp_mode mode;
  int64_t slow_ms, lost_percent, list_lag_ms;
  struct sp_counters counters;
  double tokens; /* writes that the rate allows now */
  int64_t filled_ms;
  gsl_rng *rng;
};

void sp_init (struct sp_platform *sp, const struct sp_settings *settings);
void sp_fini (struct sp_platform *sp);
/* The handler of every request.  */
void sp_handle (void *arg, const struct sv_request *request,
                struct sv_reply *reply);
/* Calls below /v1/admin/; PATH is the part after it.  */
void sp_admin (struct sp_platform *sp, const char *path,
               const struct sv_request *request, struct sv_reply *reply);
/* The VM list as it was list_lag_ms ago.  Call with the lock held.  */
json_t *sp_vms_lagging (struct sp_platform *sp);
/* Takes up a changed VM map.  Call with the lock held.  */
void sp_vms_changed (struct sp_platform *sp);
void sp_vms_fini (struct sp_platform *sp);

#endif
