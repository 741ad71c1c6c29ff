/* Validation of messages before they are decoded.  */
#ifndef NET_PEER_VALIDATE_H
#define NET_PEER_VALIDATE_H

/* Returns 0 if the headers in DATA announce no more elements than SIZE bytes
   can hold, else PR_EINVAL.  The msgpack library allocates an array as soon as
   it reads the array's header, whatever count it announces; this check keeps
   the allocation in proportion to SIZE.  */
int pr_check_element_counts (const char *data, int size);

#endif
