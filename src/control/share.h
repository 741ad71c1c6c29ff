/* How many cells a VM holds: which free ones it goes for first, and when it
   hands one over.  */
#ifndef CONTROL_SHARE_H
#define CONTROL_SHARE_H

#include <stdint.h>

enum
{
  SH_DELAY_PER_CELL_MS = 400, /* added for each cell held already */
  SH_DELAY_FULL_MS = 2000,    /* added when the share is full */
  SH_GIVE_MS = 5000,          /* between two hand-overs */
  SH_GIVE_MAX_MS = 300000     /* when nobody takes what is handed over */
};

struct sh_view
{
  int held;  /* by this VM */
  int cells; /* in all */
  int vms;   /* that can hold cells */
  int least; /* cells of the VM that holds fewest */
};

/* Milliseconds to wait before taking a free cell; RANDOM in [0, 1).  */
int64_t sh_take_delay (const struct sh_view *view, double random);
/* Whether one cell should go to another VM.  */
int sh_should_give (const struct sh_view *view);

#endif
