/* skr-sched: the controllers of the cells whose lease this VM holds.  The
   control thread owns all state; the HTTP client's and the peers' threads
   push what arrives into its ring.  */
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
#include "skr/stat.h"
#include "skr/table.h"
#include "skr/timer.h"
#include "skr/vms.h"

enum
{
  SC_MAX_CELLS = CF_MAX_CELLS,
  SC_MAX_VMS = 1024,
  SC_RING = 32768,      /* events; twice what can be in progress and more */
  SC_REQUESTS = 8192,   /* in progress at most */
  SC_PEER_EVENTS = 1024 /* of these at most from peers */
};

struct sc_settings
{
  const char *vm, *domain, *platform, *peer, *peers, *peer_keys;
  const char *listen, *operator_digest; /* of the counters */
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

enum sc_kind
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

/* One thing that has happened; made by the thread that saw it, freed by the
   control thread.  */
struct sc_event
{
  enum sc_kind kind;
  struct sched *sched;
  struct cl_cell *cell;
  int64_t serial;
  struct cl_ticket ticket;
  enum hc_end end;
  long status;
  int error; /* a tb_error */
  json_t *json;
  struct pr_message *message;
};

/* A skr-entry that has told of itself.  */
struct sc_entry
{
  char vm[CT_NAME], address[CT_ADDRESS];
  int64_t stamp_ms, heard_ms;
};

struct sched
{
  const struct sc_settings *set;
  struct cl_settings cell_set;
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
  int live_vms, least_held; /* entry VMs; cells of another with fewest */
  struct vl_follow follow;  /* the VM list */
  json_t *vms;              /* the same as an array, or NULL */
  json_t *workers;          /* of each cell: an array by its name; or NULL */
  json_t *cell_rows;        /* array of the last scan of the cells */
  int asking_cells;
  int64_t give_at_ms, give_wait_ms;

  struct sc_entry entry[SC_MAX_VMS];
  int entries;
  struct gr_book book;
  struct pr_key_file keys;
  struct pr_place place;

  struct st_registry stat;
  struct hs_server *server; /* NULL: the counters are not served */
};

/* loop.c */
int sc_start (struct sched *s, const struct sc_settings *set);
void sc_stop (struct sched *s); /* hands the cells over, then ends */

/* io.c */
int sc_io_start (struct sched *s);
void sc_io_stop (struct sched *s);
void sc_push (struct sched *s, struct sc_event *event);
void sc_free_event (struct sc_event *event);
cl_emit sc_emit;
tb_done sc_table_done;
struct sc_event *sc_new_event (struct sched *s, enum sc_kind kind);

/* cells.c */
struct cl_cell *sc_find_cell (struct sched *s, const char *name);
int sc_held (const struct sched *s);
struct cl_cell *sc_add_cell (struct sched *s, const char *name);
/* A member that is a string, else "".  */
const char *sc_text (const json_t *o, const char *name);
void sc_count_vms (struct sched *s);
void sc_poll_cells (void *sched, int64_t now_ms);
void sc_cells_done (struct sched *s, int error, json_t *data);
void sc_rebalance (void *sched, int64_t now_ms);
int64_t sc_take_delay (struct sched *s, struct cl_cell *c);

/* config.c */
void sc_poll_config (void *sched, int64_t now_ms);
void sc_config_done (struct sched *s, int error, json_t *data);

/* vms.c */
void sc_poll_vms (void *sched, int64_t now_ms);
/* Shows cells that were just taken the list, if it is known to be right.  */
void sc_show_new_holders (struct sched *s);
/* Takes the VM list up as it is known, and how domains are parted.  */
void sc_fleet_changed (struct sched *s);
void sc_vms_done (struct sched *s, int error, json_t *data);
void sc_vms_told (struct sched *s, const struct pr_vms *word);

/* count.c */
int sc_count_start (struct sched *s);
void sc_count_stop (struct sched *s);
void sc_count_ended (struct sched *s, const json_t *row);
void sc_count_gauges (void *sched, int64_t now_ms);

/* peers.c */
int sc_peers_start (struct sched *s);
void sc_dial (struct sched *s);
void sc_heartbeat (void *sched, int64_t now_ms);
void sc_grant (void *sched, int64_t now_ms);
void sc_read_keys (void *sched, int64_t now_ms);
void sc_on_peer (struct sched *s, const struct pr_message *m);
void sc_tell_ended (struct sched *s, const char *cell, const char *job);

#endif
