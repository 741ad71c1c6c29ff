/* The VM list and its lines.  */
#include <string.h>
#include <xxhash.h>

#include "skr/vms.h"

static int
compare_ids (const void *a, const void *b, void *arg)
{
  (void)arg;
  return strcmp (a, b);
}

void
vl_list_init (struct vl_list *list)
{
  list->line = g_tree_new_full (compare_ids, NULL, NULL, g_free);
  list->digest = 0;
}

void
vl_list_fini (struct vl_list *list)
{
  g_tree_destroy (list->line);
}

/* Hashes the whole struct.  The bytes after the end of each string must be 0,
   as copy_line leaves them.  */
static uint64_t
digest_of (const struct pr_vm *vm)
{
  return XXH3_64bits (vm, sizeof *vm);
}

static void
copy_line (struct pr_vm *to, const struct pr_vm *from)
{
  memset (to, 0, sizeof *to);
  g_strlcpy (to->id, from->id, sizeof to->id);
  g_strlcpy (to->address, from->address, sizeof to->address);
  g_strlcpy (to->peer, from->peer, sizeof to->peer);
  g_strlcpy (to->rack, from->rack, sizeof to->rack);
  g_strlcpy (to->domain, from->domain, sizeof to->domain);
  to->is_entry = from->is_entry;
  to->state = from->state;
  to->accelerators = from->accelerators;
  to->slots = from->slots;
  to->connections = from->connections;
}

int
vl_list_set (struct vl_list *list, const struct pr_vm *vm)
{
  struct pr_vm *old = g_tree_lookup (list->line, vm->id), *next;

  if (vm->state == PR_VM_GONE)
    {
      if (!old)
        return 0;
      list->digest -= digest_of (old);
      g_tree_remove (list->line, vm->id);
      return 1;
    }
  next = g_new (struct pr_vm, 1);
  copy_line (next, vm);
  if (old && !memcmp (old, next, sizeof *next))
    {
      g_free (next);
      return 0;
    }
  if (old)
    list->digest -= digest_of (old);
  list->digest += digest_of (next);
  g_tree_replace (list->line, next->id, next);
  return 1;
}

static void
copy_text (char *to, const json_t *line, const char *field)
{
  const char *text = json_string_value (json_object_get (line, field));

  g_strlcpy (to, text ? text : "", PR_ID_SIZE);
}

static int32_t
int_field (const json_t *line, const char *field)
{
  return (int32_t)json_integer_value (json_object_get (line, field));
}

int
vl_read_line (struct pr_vm *vm, const json_t *line)
{
  char role[PR_ID_SIZE], state[PR_ID_SIZE];

  memset (vm, 0, sizeof *vm);
  copy_text (vm->id, line, "id");
  copy_text (vm->address, line, "address");
  copy_text (vm->peer, line, "peer");
  copy_text (vm->rack, line, "rack");
  copy_text (vm->domain, line, "domain");
  copy_text (role, line, "role");
  copy_text (state, line, "state");
  vm->is_entry = !strcmp (role, "entry");
  vm->state = strcmp (state, "leaving") ? PR_VM_LIVE : PR_VM_LEAVING;
  vm->accelerators = int_field (line, "accelerators");
  vm->slots = int_field (line, "slots");
  vm->connections = int_field (line, "connections");
  return *vm->id != '\0';
}

static json_t *
line_json (const struct pr_vm *vm)
{
  json_t *o
      = json_pack ("{s:s,s:s,s:s,s:s,s:s,s:s}", "id", vm->id, "role",
                   vm->is_entry ? "entry" : "worker", "address", vm->address,
                   "rack", vm->rack, "domain", vm->domain, "state",
                   vm->state == PR_VM_LEAVING ? "leaving" : "live");

  if (vm->is_entry)
    json_object_set_new (o, "peer", json_string (vm->peer));
  else
    {
      json_object_set_new (o, "accelerators", json_integer (vm->accelerators));
      json_object_set_new (o, "slots", json_integer (vm->slots));
      json_object_set_new (o, "connections", json_integer (vm->connections));
    }
  return o;
}

json_t *
vl_list_json (const struct vl_list *list)
{
  json_t *vms = json_array ();

  for (GTreeNode *n = g_tree_node_first (list->line); n;
       n = g_tree_node_next (n))
    json_array_append_new (vms, line_json (g_tree_node_value (n)));
  return json_pack ("{s:o}", "vms", vms);
}
