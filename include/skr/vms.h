/* Replication of the platform's list of VMs.  The platform only returns the
   whole list, so one skr-entry of each failure domain, the reader, fetches it
   every second and sends the changes to the domain's other daemons.  These
   fetch it when they start, at long intervals, when their list differs from
   the reader's, and when no reader is heard.  This module does no I/O, reads
   no clock and starts no thread.  */
#ifndef SKR_VMS_H
#define SKR_VMS_H

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

#include "skr/peer.h"

enum
{
  VL_READ_INTERVAL_MS = 1000,    /* shortest interval of one daemon's reads */
  VL_READER_TIMEOUT_MS = 1500,   /* without a reader's message: read */
  VL_RANK_DELAY_MS = 250,        /* extra timeout per preceding VM, */
  VL_MAX_RANK_DELAYS = 3,        /* for at most so many VMs */
  VL_PEER_TIMEOUT_MS = 3000,     /* without a heartbeat: not a reader */
  VL_DIVERGENCE_LIMIT_MS = 1100, /* a list that differs so long is read */
  VL_DIVERGENCE_JITTER_MS = 400, /* random part added to that limit */
  VL_REPEAT_CHANGE_MS = 3000,    /* each change is sent for so long */
  VL_FORCED_READ_MS = 1800000,   /* reads without other cause, +- 20 % */
  VL_MAX_CHANGES = 1024, /* changes kept to be sent; beyond, others read */
  VL_MAX_PEERS = 64      /* entry VMs of one failure domain */
};

/* The VM list.  */
struct vl_list
{
  GTree *line;     /* struct pr_vm by its id */
  uint64_t digest; /* sum of the lines' hashes: independent of the order */
};

void vl_list_init (struct vl_list *list);
void vl_list_fini (struct vl_list *list);
/* Adds or replaces VM, or removes it when its state is PR_VM_GONE.  Returns 1
   when this changes LIST.  */
int vl_list_set (struct vl_list *list, const struct pr_vm *vm);
/* Parses one line of the platform's answer.  Returns 0 when it has no id.  */
int vl_read_line (struct pr_vm *vm, const json_t *line);
/* Returns a new {"vms":[...]} in the platform's format.  */
json_t *vl_list_json (const struct vl_list *list);

/* Another entry VM of the failure domain.  */
struct vl_peer
{
  char vm[PR_ID_SIZE];
  int leaving;
  int64_t heard_ms;
  int64_t incarnation, serial; /* of its last message that was applied */
};

/* A change that is sent to the other daemons.  */
struct vl_change
{
  struct pr_vm vm;
  int64_t until_ms; /* sent until this time */
};

/* The list of one daemon and the state of its replication.  Times are on the
   caller's monotonic clock; -1 means never.  */
struct vl_follow
{
  const char *vm, *domain;
  int may_publish; /* an skr-entry that is not leaving */
  struct vl_list list;
  struct vl_peer peer[VL_MAX_PEERS];
  int peers;
  int64_t incarnation, serial; /* of its own reads */
  char reader[PR_ID_SIZE];     /* VM whose messages are applied */
  int64_t reader_heard_ms;     /* last message of READER */
  int64_t diverged_since_ms; /* list differs from READER's since; -1: equal */
  /* Start of the last read, end of the last successful one, and the next one
     that is due without other cause.  */
  int64_t read_started_ms, read_ms, forced_read_ms;
  int reading, publishing; /* a read is in progress; its changes are sent */
  GArray *changes;         /* struct vl_change, to be sent */
};

/* Initializes F.  VM and DOMAIN stay the caller's and must outlive F.
   INCARNATION differs for each process.  */
void vl_init (struct vl_follow *f, const char *vm, const char *domain,
              int may_tell, int64_t incarnation);
void vl_fini (struct vl_follow *f);
/* Handles the heartbeat H of another daemon.  */
void vl_on_heartbeat (struct vl_follow *f, int64_t now_ms,
                      const struct pr_heartbeat *h);
/* True when the list must be read now; the caller then calls vl_begin_read.
   IS_TURN is true once every VL_READ_INTERVAL_MS, when the daemon also does
   its other reads; a reader reads at that time.  */
int vl_read_is_due (const struct vl_follow *f, int64_t now_ms, int is_turn);
/* Marks the start of a read.  */
void vl_begin_read (struct vl_follow *f, int64_t now_ms);
/* Ends a read with VMS, the "vms" of the answer, or NULL when the read failed.
   Returns 1 when the list has changed.  */
int vl_finish_read (struct vl_follow *f, int64_t now_ms, const json_t *vms);
/* Fills OUT with the next message to the other daemons after a read.  *AT is a
   cursor, 0 for the first message.  Returns 0 when there are no more.  */
int vl_next_message (const struct vl_follow *f, int64_t now_ms, guint *at,
                     struct pr_vms *out);
/* Applies a message of a reader.  Returns 1 when the list has changed.  */
int vl_on_message (struct vl_follow *f, int64_t now_ms,
                   const struct pr_vms *message);
/* True when the list was read within VL_PEER_TIMEOUT_MS, or a message within
   that time showed it to be equal to the reader's.  */
int vl_is_fresh (const struct vl_follow *f, int64_t now_ms);

#endif
