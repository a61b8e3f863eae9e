#ifndef GV_MESSAGE_H
#define GV_MESSAGE_H

#include <msgpack.h>
#include <stdbool.h>
#include <stdint.h>

#include "outcome.h"
#include "pack.h"
#include "str.h"

/* Messages between entry hosts. */
typedef enum {
    GV_MSG_HELLO = 1,
    GV_MSG_HEARTBEAT,
    GV_MSG_EXECUTE,
    GV_MSG_RESULT,
    GV_MSG_CANCEL,
    GV_MSG_LEDGER_GET,
    GV_MSG_LEDGER_RECORDS,
    GV_MSG_LEDGER_SNAPSHOT,
    GV_MSG_SLOT_BORROW,
    GV_MSG_SLOT_LEND,
    GV_MSG_SLOT_RETURN
} gv_msg_kind_t;

typedef struct {
    gv_str_t entry;
    gv_str_t dc;
    gv_str_t region;
    uint64_t incarnation;
} gv_msg_hello_t;

/* Load of one service at the sender. */
typedef struct {
    gv_str_t service;
    int queued;
    int busy;  /* slots in use by the sender */
    int slots; /* slots that the sender may use */
    int rate;  /* requests arrived in the last second */
} gv_load_t;

/* What the sender knows first hand about a target of its data centre. */
typedef struct {
    gv_str_t host;
    gv_str_t boot;
    bool leaving;
    bool healthy;
    uint64_t seen; /* sender's observation number, grows */
} gv_health_t;

typedef struct {
    uint64_t offset; /* next ledger offset to fold */
    uint64_t list_version;
    bool platform_ok;
    gv_load_t *loads;
    int n_loads;
    gv_health_t *health;
    int n_health;
} gv_msg_heartbeat_t;

typedef struct {
    gv_str_t service;
    gv_str_t method;
    gv_str_t path; /* with the query string */
    gv_str_t content_type;
    gv_str_t team;
    gv_str_t work;
    bool urgent;
    bool to_owner; /* false: spilled, run here without forwarding again */
    gv_str_t ticket;
    gv_str_t key;
    gv_str_t body;
} gv_msg_execute_t;

typedef struct {
    uint64_t from;
} gv_msg_ledger_get_t;

typedef struct {
    uint64_t offset;
    int64_t append_ms;
    gv_str_t bytes;
} gv_raw_record_t;

typedef struct {
    gv_raw_record_t *records;
    int n_records;
} gv_msg_ledger_records_t;

typedef struct {
    gv_str_t host;
    int count;
    int lease_ms;
} gv_msg_slots_t;

/* Views borrow from the received frame or from the sender's data. */
typedef struct {
    gv_msg_kind_t kind;
    uint64_t number;     /* request number; an answer repeats it */
    int64_t deadline_ms; /* remaining, 0: none */
    union {
        gv_msg_hello_t hello;
        gv_msg_heartbeat_t heartbeat;
        gv_msg_execute_t execute;
        gv_answer_t result; /* borrowed strings */
        gv_msg_ledger_get_t ledger_get;
        gv_msg_ledger_records_t ledger_records;
        gv_str_t ledger_snapshot; /* as written by GvLedger_Save */
        gv_msg_slots_t slots;     /* BORROW, LEND and RETURN */
    } u;
} gv_message_t;

/* Packs the frame body: version, kind, number, deadline, content. */
void GvMessage_Pack(msgpack_sbuffer *out, const gv_message_t *m);
/* Arrays inside m are allocated; release with GvMessage_Clear, then un. */
int GvMessage_Unpack(gv_str_t frame, msgpack_unpacked *un, gv_message_t *m);
void GvMessage_Clear(gv_message_t *m);

#endif
