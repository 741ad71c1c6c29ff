/* skr-sched runs one controller for each cell whose lease this VM holds.  The
   control thread owns all state; the threads of the HTTP client and of the
   peer network push events into its ring.  */
#ifndef SCHED_SCHED_H
#define SCHED_SCHED_H

#include <glib.h>
#include <stdatomic.h>
#include <stdint.h>

#include "config/config.h"
#include "control/cell.h"
#include "control/grant.h"
#include "control/share.h"
#include "skr/http.h"
#include "skr/peer.h"
#include "skr/ring.h"
#include "skr/serve.h"
#include "skr/serve_watch.h"
#include "skr/stat.h"
#include "skr/table.h"
#include "skr/timer.h"
#include "skr/vms.h"

enum
{
  SC_MAX_CELLS = CF_MAX_CELLS,
  SC_MAX_VMS = 1024,
  SC_RING_EVENTS = 32768,   /* over twice what can be in progress */
  SC_MAX_REQUESTS = 8192,   /* in progress at the same time */
  SC_MAX_PEER_EVENTS = 1024 /* peer messages in the ring */
};

struct sc_settings
{
  const char *vm, *domain, *platform, *peer, *peers, *peer_keys;
  const char *listen, *operator_digest; /* of the counters server */
  const char *log_output;
  int64_t log_level;
  int64_t cell_lease_ms, cell_margin_ms, task_lease_ms;
  int64_t cells_per_domain;
  int64_t poll_ms, poll_max_ms, scan_ms, settle_ms, order_timeout_ms,
      table_timeout_ms;
  int64_t reserve_slots, reserve_connections, grant_ms;
  int64_t commit_rows, rows_per_second, keep_jobs_h;
  int64_t weight_completion, weight_fragmentation, spare_workers;
  int64_t drain_ms;
  int no_check;
};

/* An event of kind SC_PEER carries a peer's message, any other kind the result
   of a request.  */
enum sc_event_kind
{
  SC_ORDER,
  SC_COMMIT,
  SC_READ,
  SC_SCAN,
  SC_SWEEP,
  SC_VMS,
  SC_CELLS,
  SC_CONFIG,
  SC_REPAIR,
  SC_PEER
};

/* A completed request or a received message.  The thread that receives it
   allocates it; the control thread frees it.  */
struct sc_event
{
  enum sc_event_kind kind;
  struct sched *sched;
  struct cl_cell *cell;
  int64_t serial;
  struct cl_ticket ticket;
  enum hc_outcome end;
  long status;
  int error; /* a tb_error */
  json_t *json;
  struct pr_message *message;
};

/* A skr-entry process that has sent a heartbeat.  */
struct sc_entry
{
  char vm[CT_NAME], address[CT_ADDRESS];
  int64_t stamp_ms, last_heartbeat_ms;
};

struct sched
{
  const struct sc_settings *settings;
  struct cl_settings cell_settings;
  struct hc_client *hc;
  struct tb_client *tb;
  struct pr_net *net;
  struct cf_store config;
  struct cf_reader reader;
  struct rg_ring ring;
  atomic_int peer_queued, stop, stopped;
  int shard; /* of the control thread, in STAT */
  struct bs_clock clock;
  struct tm_service timers;
  struct bs_thread thread;
  char token[CT_TOKEN];
  int64_t now_ms;

  struct cl_cell *cell[SC_MAX_CELLS];
  int cells;
  int live_entry_vms, min_held; /* MIN_HELD: fewest cells of another */
  struct vl_follow vm_list;
  json_t *vms;       /* the VM list as an array, or NULL */
  json_t *workers;   /* cell name -> array of its workers, or NULL */
  json_t *cell_rows; /* rows of the last scan of the cells */
  int cells_scan_pending;
  int64_t release_at_ms, release_interval_ms;

  struct sc_entry entry[SC_MAX_VMS];
  int entries;
  struct gr_grants grants;
  struct pr_key_file keys;
  struct pr_daemon_settings peer_config;

  struct st_registry stat;
  struct hs_server *server; /* NULL when no counters address is set */
  struct sw_watch watch;    /* of SERVER */
};

/* loop.c */
/* Starts the control thread; SET must outlive S.  Returns 0, CT_ENOMEM or
   CT_EINVAL.  */
int sc_start (struct sched *s, const struct sc_settings *set);
/* Releases the cells, waiting up to drain_ms, ends the control thread and
   frees what S holds.  */
void sc_stop (struct sched *s);

/* io.c */
int sc_io_start (struct sched *s);
void sc_io_stop (struct sched *s);
/* Queues EVENT for the control thread and takes ownership of it.  */
void sc_push (struct sched *s, struct sc_event *event);
void sc_free_event (struct sc_event *event);
cl_emit sc_emit;
tb_done sc_table_done;
struct sc_event *sc_new_event (struct sched *s, enum sc_event_kind kind);

/* cells.c */
struct cl_cell *sc_find_cell (struct sched *s, const char *name);
/* Number of cells that this VM holds or is loading or releasing.  */
int sc_held_count (const struct sched *s);
/* Returns the cell NAME, creating its controller if there is none; NULL when
   it cannot be created.  */
struct cl_cell *sc_add_cell (struct sched *s, const char *name);
/* The string member NAME of O, or "" when it is missing or no string.  */
const char *sc_json_string (const json_t *o, const char *name);
void sc_update_vm_counts (struct sched *s);
void sc_poll_cells (void *sched, int64_t now_ms);
void sc_cells_done (struct sched *s, int error, json_t *data);
void sc_rebalance (void *sched, int64_t now_ms);
/* Delay in ms before this VM tries to take the free cell C; -1 while it
   stops.  */
int64_t sc_take_delay (struct sched *s, struct cl_cell *c);

/* config.c */
void sc_poll_config (void *sched, int64_t now_ms);
void sc_config_done (struct sched *s, int error, json_t *data);

/* vms.c */
void sc_poll_vms (void *sched, int64_t now_ms);
/* Passes the workers to cells that are still loading, if the VM list is
   fresh.  */
void sc_update_loading_cells (struct sched *s);
/* Rebuilds the workers of each cell from the VM list and the number of cells
   per domain, and passes them to all cells.  */
void sc_apply_fleet (struct sched *s);
void sc_vms_done (struct sched *s, int error, json_t *data);
void sc_on_vms_message (struct sched *s, const struct pr_vms *message);

/* counters.c */
int sc_counters_start (struct sched *s);
void sc_counters_stop (struct sched *s);
void sc_count_ended_job (struct sched *s, const json_t *row);
void sc_update_gauges (void *sched, int64_t now_ms);

/* peers.c */
int sc_peers_start (struct sched *s);
void sc_connect_peers (struct sched *s);
void sc_heartbeat (void *sched, int64_t now_ms);
void sc_send_grants (void *sched, int64_t now_ms);
void sc_reload_keys (void *sched, int64_t now_ms);
void sc_on_peer_message (struct sched *s, const struct pr_message *m);
void sc_send_job_changed (struct sched *s, const char *cell, const char *job);

#endif
