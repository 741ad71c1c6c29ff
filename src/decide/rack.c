/* Index of racks by available accelerators.  */
#include "state.h"

static void
unlink_rack (struct dc *dc, uint32_t id, enum dc_capacity cap)
{
  struct dc_rack *r = &dc->racks.v[id];
  struct dc_rack_index *index = &dc->rack_index[cap];
  uint32_t row = r->bucket[cap];

  if (r->prev[cap] != DC_NONE)
    dc->racks.v[r->prev[cap]].next[cap] = r->next[cap];
  else
    index->head[row] = r->next[cap];
  if (r->next[cap] != DC_NONE)
    dc->racks.v[r->next[cap]].prev[cap] = r->prev[cap];
  if (index->head[row] == DC_NONE)
    index->nonempty[row / 64] &= ~(1ULL << row % 64);
}

/* Moves a rack to the bucket of its available accelerators.  */
void
dc_rack_reindex (struct dc *dc, uint32_t id, enum dc_capacity cap)
{
  struct dc_rack *r = &dc->racks.v[id];
  struct dc_rack_index *index = &dc->rack_index[cap];
  int32_t offered = r->available[cap].accelerators;
  uint32_t row
      = offered < DC_RACK_BUCKETS ? (uint32_t)offered : DC_RACK_BUCKETS - 1;

  if (r->bucket[cap] == row)
    return;
  if (r->bucket[cap] != DC_NONE)
    unlink_rack (dc, id, cap);
  r->bucket[cap] = row;
  r->prev[cap] = DC_NONE;
  r->next[cap] = index->head[row];
  if (r->next[cap] != DC_NONE)
    dc->racks.v[r->next[cap]].prev[cap] = id;
  index->head[row] = id;
  index->nonempty[row / 64] |= 1ULL << row % 64;
}

/* Returns the lowest bucket from ROW on that has racks, or -1.  */
int
dc_rack_next (const struct dc *dc, enum dc_capacity cap, int row)
{
  for (int word = row / 64; word < DC_RACK_BUCKETS / 64; word++)
    {
      uint64_t bits = dc->rack_index[cap].nonempty[word];

      if (word == row / 64)
        bits &= ~0ULL << row % 64;
      if (bits)
        return word * 64 + __builtin_ctzll (bits);
    }
  return -1;
}

/* Returns the highest bucket up to ROW that has racks, or -1.  */
int
dc_rack_last (const struct dc *dc, enum dc_capacity cap, int row)
{
  for (int word = row / 64; word >= 0; word--)
    {
      uint64_t bits = dc->rack_index[cap].nonempty[word];

      if (word == row / 64 && row % 64 < 63)
        bits &= (1ULL << (row % 64 + 1)) - 1;
      if (bits)
        return word * 64 + 63 - __builtin_clzll (bits);
    }
  return -1;
}
