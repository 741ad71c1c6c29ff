/* State of the stand-in for a worker.  */
#ifndef WORKER_H
#define WORKER_H

#include <pthread.h>

#include "../common/serve.h"
#include "gangs.h"

enum
{
  SW_TICK_MS = 5 /* interval in which task states and waits are updated */
};

struct sw_settings
{
  const char *id, *listen, *platform, *rack, *domain, *journal_file,
      *hold_file;
  int64_t accelerators, slots, connections; /* capacity of the worker */
  int64_t checkpoint_ms, usage_lag_ms, drain_ms;
};

/* Fault that is in force.  */
enum sw_mode
{
  SW_MODE_OK,
  SW_MODE_FREEZE,   /* requests wait and no task advances */
  SW_MODE_FAIL_ALL, /* every call and task fails at once */
  SW_MODE_LATE,     /* answers to calls are delayed by late_ms */
  SW_MODE_SILENT    /* connections open when it was set get no answer */
};

struct sw_worker
{
  struct sv_server server;
  struct sw_settings settings;
  pthread_mutex_t lock; /* protects the fields below */
  struct sw_gangs gangs;
  struct sw_journal journal;
  enum sw_mode mode;
  int64_t late_ms;
  int leaving;       /* accepts no new calls or tasks */
  int stopped;       /* the ticker is to end */
  unsigned releases; /* number of times that held calls were released */
  int connections, connections_max, slots_max; /* _max: highest so far */
  json_t *usage;                               /* last sample of the usage */
  int64_t sampled_ms;                          /* time of USAGE */
  pthread_t ticker;
};

/* Initializes SW and starts its ticker, but not its server.  Returns 0 or
   -1.  */
int sw_init (struct sw_worker *sw, const struct sw_settings *settings);
/* Stops the ticker and releases everything but the server.  */
void sw_fini (struct sw_worker *sw);
/* Returns the time of the monotonic clock.  */
int64_t sw_now_ms (void);
/* Handles a request; a sv_handle with a struct sw_worker.  */
void sw_handle (void *arg, const struct sv_request *request,
                struct sv_reply *reply);
/* Uncounts a closed connection; a sv_closed with a struct sw_worker.  */
void sw_connection_closed (void *arg);
/* Handles POST /v1/calls.  Call without the lock.  */
void sw_handle_call (struct sw_worker *sw, const struct sv_request *request,
                     struct sv_reply *reply);
/* Handles requests about tasks and leases.  Call with the lock held.  */
void sw_handle_tasks (struct sw_worker *sw, const struct sv_request *request,
                      struct sv_reply *reply);
/* Handles requests below /v1/admin/; PATH is the part after it.  Call with the
   lock held.  */
void sw_handle_admin (struct sw_worker *sw, const char *path,
                      const struct sv_request *request,
                      struct sv_reply *reply);
/* Waits while the worker is frozen.  Call without the lock.  */
void sw_wait_unfrozen (struct sw_worker *sw);
/* Waits until held calls are released.  Call without the lock.  */
void sw_wait_released (struct sw_worker *sw);
/* Registers the worker and its state with the platform, or, when GONE is set,
   removes its registration.  Returns 0 or -1.  */
int sw_register (struct sw_worker *sw, int gone);

#endif
