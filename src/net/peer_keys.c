#include <jansson.h>
#include <string.h>
#include <zmq.h>

#include "skr/peer.h"

static int
read_key (const json_t *root, const char *name, char to[PR_KEY_SIZE])
{
  const char *text = json_string_value (json_object_get (root, name));
  unsigned char raw[32];

  if (!text || strlen (text) != PR_KEY_SIZE - 1 || !zmq_z85_decode (raw, text))
    return PR_EINVAL;
  memcpy (to, text, PR_KEY_SIZE);
  return PR_OK;
}

int
pr_read_keys (const char *path, struct pr_key_file *out)
{
  json_t *root = json_load_file (path, JSON_REJECT_DUPLICATES, NULL);
  int error = PR_EINVAL;

  memset (out, 0, sizeof *out);
  if (root && !read_key (root, "public", out->public_key)
      && !read_key (root, "secret", out->secret_key))
    error = PR_OK;
  if (!error && json_object_get (root, "other"))
    error = read_key (root, "other", out->other_key);
  json_decref (root);
  return error;
}
