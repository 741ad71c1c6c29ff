#include <stdio.h>
#include <string.h>

#include "control/relocate.h"

void
hm_add_worker (struct hm_capacity *room, int32_t accelerators, int32_t slots)
{
  for (int i = 0; i < room->shapes; i++)
    if (room->shape[i].accelerators == accelerators
        && room->shape[i].slots == slots)
      {
        room->shape[i].count++;
        return;
      }
  if (room->shapes == HM_MAX_SHAPES)
    room->known = 0;
  else
    room->shape[room->shapes++] = (struct hm_shape){ accelerators, slots, 1 };
}

int
hm_fits (const struct hm_capacity *room, struct hm_demand need)
{
  int64_t tasks = 0;

  for (int i = 0; i < room->shapes; i++)
    {
      const struct hm_shape *s = &room->shape[i];
      int32_t each = s->slots;

      if (need.per_task && s->accelerators / need.per_task < each)
        each = s->accelerators / need.per_task;
      tasks += (int64_t)each * s->count;
    }
  return tasks >= need.tasks;
}

json_t *
hm_print (const struct hm_capacity *room)
{
  json_t *list = json_array ();

  for (int i = 0; i < room->shapes; i++)
    json_array_append_new (
        list, json_pack ("[i, i, i]", room->shape[i].accelerators,
                         room->shape[i].slots, room->shape[i].count));
  return list;
}

void
hm_parse (struct hm_capacity *room, const char *cell, const json_t *row)
{
  const char *holder = json_string_value (json_object_get (row, "holder"));
  const json_t *list = json_object_get (row, "shapes"), *o;
  size_t i;

  memset (room, 0, sizeof *room);
  snprintf (room->cell, sizeof room->cell, "%s", cell);
  room->free = json_integer_value (json_object_get (row, "free"));
  if (!holder || !*holder || !json_is_array (list)
      || json_array_size (list) > HM_MAX_SHAPES)
    return;
  room->known = 1;
  json_array_foreach (list, i, o)
  {
    struct hm_shape *s = &room->shape[i];

    if (json_unpack ((json_t *)o, "[i, i, i]", &s->accelerators, &s->slots,
                     &s->count))
      {
        room->known = room->shapes = 0;
        return;
      }
    room->shapes++;
  }
}

enum hm_decision
hm_decide (const struct hm_capacity *own, const struct hm_capacity *other,
           int others, struct hm_demand need, int64_t *since_ms,
           int64_t now_ms, const struct hm_capacity **to)
{
  int known = own->known;

  *to = NULL;
  if (hm_fits (own, need) || !known)
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
      if (other[i].known && hm_fits (&other[i], need)
          && (!*to || other[i].free > (*to)->free))
        *to = &other[i];
    }
  if (*to)
    return HM_MOVE;
  return known && now_ms - *since_ms >= HM_END_AFTER_MS ? HM_END : HM_STAY;
}
