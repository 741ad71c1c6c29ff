/* Computes a placement of all cells beside running work that may not move,
   without changing the state.  */
#ifndef DECIDE_PACK_H
#define DECIDE_PACK_H

#include "state.h"

/* What a gang that may not move uses on one worker.  */
struct pk_share
{
  uint32_t job, account, worker;
  struct dc_amount need;
  uint32_t item;      /* item whose cell it is assigned to, or DC_NONE */
  bool on_one_worker; /* the gang has no tasks elsewhere */
};

/* A cell and its new place.  */
struct pk_item
{
  uint32_t cell, account;
  int32_t size;
  struct dc_amount unit;
  enum dc_level level;
  uint32_t first_allocation, allocations;
  bool placed;
};

struct pk_packing
{
  struct dc *dc;
  bool enclose_all;        /* a cell encloses all the work that fits into it */
  bool include_spares;     /* also pack spare cells that are not bound */
  struct dc_amount *free;  /* of each worker, beside the work that may not
                              move */
  int32_t *group_capacity; /* scratch: blocks free in each rack or domain */
  DC_VECTOR (struct pk_share) shares; /* by account, worker, decreasing size */
  DC_VECTOR (struct pk_item) items;   /* by decreasing size */
  DC_VECTOR (struct dc_allocation) allocations;
};

/* pack_read.c */
int pk_init (struct pk_packing *p, struct dc *dc);
void pk_fini (struct pk_packing *p);
/* pack.c */
bool pk_solve (struct pk_packing *p);
void pk_allocate (struct pk_packing *p, struct pk_item *item, uint32_t worker,
                  int32_t tasks);
/* pack_groups.c: cells larger than any worker */
bool pk_place_group (struct pk_packing *p, struct pk_item *item);

#endif
