/* The platform's list of VMs.  It can only be read whole, so one skr-entry of
   each failure domain reads it each second and tells the domain's other
   daemons what has changed; these read it at their start, seldom besides, when
   their list differs from the reader's, and when no reader is heard.  No I/O,
   no clock, no thread.  */
#ifndef SKR_VMS_H
#define SKR_VMS_H

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

#include "skr/peer.h"

enum
{
  VL_READ_MS = 1000, /* between two readings of one daemon at least */
  VL_READER_TIMEOUT_MS = 1500, /* without a word of a reader: read */
  VL_RANK_DELAY_MS = 250,      /* so much later by each rank, */
  VL_MAX_RANK_DELAYS = 3,      /* up to this rank */
  VL_PEER_TIMEOUT_MS = 3000,   /* without a heartbeat: no reader */
  VL_DIVERGENCE_LIMIT_MS
  = 1100, /* longest difference from the reader's list, */
  VL_DIVERGENCE_JITTER_MS = 400, /* and up to so much, by each daemon */
  VL_REPEAT_CHANGE_MS = 3000,    /* a change is told again for so long */
  VL_FORCED_READ_MS = 1800000, /* between two readings for certainty, about */
  VL_MAX_CHANGES = 1024, /* changes that are told; more: others must read */
  VL_MAX_PEERS = 64      /* entry VMs of one failure domain */
};

/* The lines by their id; each value is a struct pr_vm.  */
struct vl_list
{
  GTree *line;
  uint64_t digest; /* of all lines, in any order */
};

void vl_list_init (struct vl_list *list);
void vl_list_fini (struct vl_list *list);
/* Takes VM over, or with PR_VM_GONE out; returns 1 when this changes LIST.  */
int vl_list_set (struct vl_list *list, const struct pr_vm *vm);
/* One line of the platform's answer.  Returns 0 when it has no id.  */
int vl_read_line (struct pr_vm *vm, const json_t *line);
/* {"vms":[...]} as the platform writes it.  */
json_t *vl_list_json (const struct vl_list *list);

struct vl_peer
{
  char vm[PR_ID];
  int leaving;
  int64_t heard_ms;
  int64_t incarnation, serial; /* of its last reading that was told */
};

struct vl_change
{
  struct pr_vm vm;
  int64_t until_ms;
};

struct vl_follow
{
  const char *vm, *domain;
  int may_tell; /* an skr-entry that stays */
  struct vl_list list;
  struct vl_peer peer[VL_MAX_PEERS];
  int peers;
  int64_t incarnation, serial; /* of its own readings */
  char reader[PR_ID];          /* that is followed */
  int64_t reader_heard_ms;     /* when it was heard last */
  int64_t diverged_since_ms; /* since when the list differs; -1: it does not */
  int64_t begun_ms, read_ms, forced_read_ms;
  int reading, publishing;
  GArray *changes; /* struct vl_change */
};

/* VM and DOMAIN stay the caller's.  INCARNATION differs for each process.  */
void vl_init (struct vl_follow *f, const char *vm, const char *domain,
              int may_tell, int64_t incarnation);
void vl_fini (struct vl_follow *f);
void vl_heard (struct vl_follow *f, int64_t now_ms,
               const struct pr_heartbeat *h);
/* True when the list is to be read now; vl_begin tells that it is.  IS_TURN
   comes once in VL_READ_MS, together with the daemon's other readings; a
   reader keeps to it.  */
int vl_due (const struct vl_follow *f, int64_t now_ms, int is_turn);
void vl_begin (struct vl_follow *f, int64_t now_ms);
/* The answer's "vms", or NULL when there is none.  Returns 1 when the list has
   changed.  */
int vl_end (struct vl_follow *f, int64_t now_ms, const json_t *vms);
/* Fills the next message of the last reading, AT being 0 for the first.
   Returns 0 when there is none.  */
int vl_tell (const struct vl_follow *f, int64_t now_ms, guint *at,
             struct pr_vms *out);
/* Returns 1 when the list has changed.  */
int vl_told (struct vl_follow *f, int64_t now_ms, const struct pr_vms *word);
/* True when the list was lately read, or told to be the reader's.  */
int vl_is_fresh (const struct vl_follow *f, int64_t now_ms);

#endif
