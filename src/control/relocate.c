#include <stdio.h>
#include <string.h>

#include "control/relocate.h"

void
hm_add_worker (struct hm_capacity *capacity, int32_t accelerators,
               int32_t slots)
{
  for (int i = 0; i < capacity->shapes; i++)
    if (capacity->shape[i].accelerators == accelerators
        && capacity->shape[i].slots == slots)
      {
        capacity->shape[i].count++;
        return;
      }
  if (capacity->shapes == HM_MAX_SHAPES)
    capacity->known = 0;
  else
    capacity->shape[capacity->shapes++]
        = (struct hm_shape){ accelerators, slots, 1 };
}

int
hm_fits (const struct hm_capacity *capacity, struct hm_demand demand)
{
  int64_t tasks = 0;

  for (int i = 0; i < capacity->shapes; i++)
    {
      const struct hm_shape *s = &capacity->shape[i];
      int32_t each = s->slots;

      if (demand.per_task && s->accelerators / demand.per_task < each)
        each = s->accelerators / demand.per_task;
      tasks += (int64_t)each * s->count;
    }
  return tasks >= demand.tasks;
}

json_t *
hm_print (const struct hm_capacity *capacity)
{
  json_t *list = json_array ();

  for (int i = 0; i < capacity->shapes; i++)
    json_array_append_new (
        list, json_pack ("[i, i, i]", capacity->shape[i].accelerators,
                         capacity->shape[i].slots, capacity->shape[i].count));
  return list;
}

void
hm_parse (struct hm_capacity *capacity, const char *cell, const json_t *row)
{
  const char *holder = json_string_value (json_object_get (row, "holder"));
  const json_t *list = json_object_get (row, "shapes"), *o;
  size_t i;

  memset (capacity, 0, sizeof *capacity);
  snprintf (capacity->cell, sizeof capacity->cell, "%s", cell);
  capacity->free = json_integer_value (json_object_get (row, "free"));
  if (!holder || !*holder || !json_is_array (list)
      || json_array_size (list) > HM_MAX_SHAPES)
    return;
  capacity->known = 1;
  json_array_foreach (list, i, o)
  {
    struct hm_shape *s = &capacity->shape[i];

    if (json_unpack ((json_t *)o, "[i, i, i]", &s->accelerators, &s->slots,
                     &s->count))
      {
        capacity->known = capacity->shapes = 0;
        return;
      }
    capacity->shapes++;
  }
}

enum hm_decision
hm_decide (const struct hm_capacity *own, const struct hm_capacity *other,
           int others, struct hm_demand demand, int64_t *since_ms,
           int64_t now_ms, const struct hm_capacity **to)
{
  int known = own->known;

  *to = NULL;
  if (hm_fits (own, demand) || !known)
    {
      *since_ms = 0;
      return HM_STAY;
    }
  if (!*since_ms)
    *since_ms = now_ms;
  if (now_ms - *since_ms < HM_MOVE_AFTER_MS)
    return HM_STAY;
  for (int i = 0; i < others; i++)
    {
      known = known && other[i].known;
      if (other[i].known && hm_fits (&other[i], demand)
          && (!*to || other[i].free > (*to)->free))
        *to = &other[i];
    }
  if (*to)
    return HM_MOVE;
  return known && now_ms - *since_ms >= HM_END_AFTER_MS ? HM_END : HM_STAY;
}
