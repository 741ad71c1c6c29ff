/* State of the worker's stand-in.  */
#ifndef WORKER_H
#define WORKER_H

#include <pthread.h>

#include "../common/serve.h"
#include "gangs.h"

enum
{
  SW_TICK_MS = 5
};

struct sw_settings
{
  const char *id, *listen, *platform, *rack, *domain, *journal_file,
      *hold_file;
  int64_t accelerators, slots, connections; /* what it has */
  int64_t checkpoint_ms, usage_lag_ms, drain_ms;
};

enum sw_mode
{
  SW_MODE_OK,
  SW_MODE_FREEZE,
  SW_MODE_FAIL_ALL,
  SW_MODE_LATE,
  SW_MODE_SILENT
};

struct sw_worker
{
  struct sv_server server;
  struct sw_settings settings;
  pthread_mutex_t lock; /* of all below */
  struct sw_gangs gangs;
  struct sw_journal journal;
  enum sw_mode mode;
  int64_t late_ms;
  int leaving, stopped;
  unsigned releases; /* how often held calls were let go */
  int connections, connections_max, slots_max;
  json_t *usage; /* the last sample */
  int64_t sampled_ms;
  pthread_t ticker;
};

int sw_init (struct sw_worker *sw, const struct sw_settings *settings);
void sw_fini (struct sw_worker *sw);
int64_t sw_now_ms (void);
/* The handler of every request, and what ends with a connection.  */
void sw_handle (void *arg, const struct sv_request *request,
                struct sv_reply *reply);
void sw_closed (void *arg);
/* POST /v1/calls.  Takes and leaves the lock itself.  */
void sw_call (struct sw_worker *sw, const struct sv_request *request,
              struct sv_reply *reply);
/* Calls about tasks and leases.  Call with the lock held.  */
void sw_tasks (struct sw_worker *sw, const struct sv_request *request,
               struct sv_reply *reply);
/* Calls below /v1/admin/.  Call with the lock held.  */
void sw_admin (struct sw_worker *sw, const char *path,
               const struct sv_request *request, struct sv_reply *reply);
/* Waits while the worker is frozen.  Call without the lock.  */
void sw_thaw_wait (struct sw_worker *sw);
/* Waits until held calls are let go.  Call without the lock.  */
void sw_release_wait (struct sw_worker *sw);
/* Tells the platform that the worker is there with its state, or (GONE) not
   any more.  Returns 0 or -1.  */
int sw_register (struct sw_worker *sw, int gone);

#endif
