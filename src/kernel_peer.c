#include <string.h>
#include <xxhash.h>

#include "clock.h"
#include "error.h"
#include "forward.h"
#include "kernel_private.h"
#include "ledgersync.h"
#include "lending.h"
#include "maintain.h"
#include "prober.h"

/* A change of a target's health is sent in two consecutive heartbeats. In case
   both are lost, later heartbeats repeat it: the health of targets that must
   get no work goes into every BAD_HEALTH_HEARTBEATS-th heartbeat, that of all
   targets, which takes most of the bytes, into every ALL_HEALTH_HEARTBEATS-th
   one. */
#define BAD_HEALTH_HEARTBEATS 10
#define ALL_HEALTH_HEARTBEATS 60

/* Peers in other data centres, which use only the load (for spill), get every
   SLOW_HEARTBEATS-th heartbeat. So do peers in this data centre while nothing
   changes. */
#define SLOW_HEARTBEATS 2

/* Refuses a peer's EXECUTE while the modules that would run it do not exist
   yet, so that the peer can run the request elsewhere at once. The outcome is
   unknown for a ticket or key: it may have run in an earlier incarnation. */
static void
refuse_execute(gv_kernel_t *k, gv_str_t from, const gv_message_t *m)
{
    gv_peers_t *peers = __atomic_load_n(&k->peers, __ATOMIC_ACQUIRE);
    if (m->kind != GV_MSG_EXECUTE || peers == NULL) {
        return;
    }
    gv_message_t r = {.kind = GV_MSG_RESULT, .number = m->number};
    r.u.result = GvAnswer_Refuse(
        m->u.execute.to_owner ? GV_OUTCOME_UNKNOWN : GV_OUTCOME_NOT_RUN, 503,
        GV_HEARTBEAT_MS, "the entry host is starting");
    (void)GvPeers_Send(peers, from, &r);
    GvAnswer_Free(&r.u.result);
}

/* Passes a peer's message to the modules that handle its kind. Runs on the
   peer thread, also while the other modules are still being started. */
void
GvKernel_OnMessage(void *user, gv_str_t from, uint64_t from_incarnation,
                   const gv_message_t *m)
{
    gv_kernel_t *k = user;
    GvLedgerSync_OnMessage(k->ledgersync, from, m);
    if (!atomic_load(&k->private->ready)) {
        refuse_execute(k, from, m);
        return;
    }
    GvForward_OnMessage(k->forward, from, m);
    GvLending_OnMessage(k->lending, from, m);
    if (m->kind == GV_MSG_HEARTBEAT) {
        const gv_msg_heartbeat_t *h = &m->u.heartbeat;
        GvProber_OnPeer(k->prober, from, from_incarnation, h->health,
                        h->n_health);
        GvMaintain_OnHeartbeat(k->maintain, from, h);
    }
}

/* Returns the region of a member: this entry host's region for a member of the
   same data centre, else the one that the peer module has from its HELLO or
   the node settings, or an empty string. The result is a view of known. */
static gv_str_t
find_region(gv_kernel_t *k, const gv_member_t *m, const GArray *known)
{
    if (GvStr_Equal(m->dc, k->conf.dc)) {
        return k->conf.region;
    }
    for (guint i = 0; i < known->len; i++) {
        const gv_peer_info_t *p = &g_array_index(known, gv_peer_info_t, i);
        if (GvStr_Equal(GvStr_C(p->name), m->name)) {
            return GvStr_C(p->region);
        }
    }
    return GV_STR("");
}

/* Passes the addresses of the members to the peer module. */
void
GvKernel_SetPeers(gv_kernel_t *k)
{
    gv_peers_t *peers = __atomic_load_n(&k->peers, __ATOMIC_ACQUIRE);
    if (peers == NULL) {
        return;
    }
    GArray *known = g_array_new(FALSE, FALSE, sizeof(gv_peer_info_t));
    GvPeers_List(peers, known);
    const gv_view_t *v = GvView_Acquire(k->views);
    for (int i = 0; i < v->n_members; i++) {
        const gv_member_t *m = &v->members[i];
        if (!GvStr_Equal(m->name, k->conf.name)) {
            gv_peer_addr_t a = {.name = m->name,
                                .dc = m->dc,
                                .region = find_region(k, m, known),
                                .addr = m->peer_addr};
            GvPeers_SetAddr(peers, &a);
        }
    }
    GvView_Release();
    g_array_free(known, TRUE);
}

/* Passes the targets of this data centre to the prober. */
void
GvKernel_SetTargets(gv_kernel_t *k)
{
    GArray *rows = g_array_new(FALSE, FALSE, sizeof(gv_target_row_t));
    GvTargets_Report(k->targets, rows, GvClock_MonoMs());
    gv_probe_target_t *t = g_new0(gv_probe_target_t, rows->len + 1);
    for (guint i = 0; i < rows->len; i++) {
        const gv_target_row_t *r = &g_array_index(rows, gv_target_row_t, i);
        t[i] = (gv_probe_target_t){GvStr_C(r->host), GvStr_C(r->addr)};
    }
    GvProber_SetTargets(k->prober, t, (int)rows->len);
    g_free(t);
    g_array_free(rows, TRUE);
}

/* Appends to names, as views of peers, the live peers of this data centre. */
static void
append_live_peers(gv_kernel_t *k, const GArray *peers, GArray *names)
{
    for (guint i = 0; i < peers->len; i++) {
        const gv_peer_info_t *p = &g_array_index(peers, gv_peer_info_t, i);
        if (p->alive && GvStr_Equal(GvStr_C(p->dc), k->conf.dc)) {
            gv_str_t name = GvStr_C(p->name);
            g_array_append_val(names, name);
        }
    }
}

/* Returns true if a peer of this data centre needs the health of all targets,
   because it is new, has restarted or was not alive before. */
static bool
needs_all_health(struct gv_kernel_private_s *p, const gv_peer_info_t *peer)
{
    const uint64_t *known = g_hash_table_lookup(p->health_synced, peer->name);
    if (!peer->alive) {
        g_hash_table_remove(p->health_synced, peer->name);
    }
    return peer->alive && (known == NULL || *known != peer->incarnation);
}

/* Sends a heartbeat to a peer of this data centre: with the health of all
   targets if the peer needs it, else with the health that is due. Sends
   nothing if no health and no heartbeat is due. */
static void
send_heartbeat(gv_kernel_t *k, const gv_peer_info_t *peer, gv_message_t *m,
               const GArray *all_health, const GArray *due_health,
               bool heartbeat_due)
{
    struct gv_kernel_private_s *p = k->private;
    bool all_needed = needs_all_health(p, peer);
    if (!heartbeat_due && !all_needed && due_health->len == 0) {
        return;
    }
    const GArray *health = all_needed ? all_health : due_health;
    m->u.heartbeat.health = (gv_health_t *)health->data;
    m->u.heartbeat.n_health = (int)health->len;
    int err = GvPeers_Send(k->peers, GvStr_C(peer->name), m);
    if (err != GV_OK) {
        g_hash_table_remove(p->health_synced, peer->name);
    }
    else if (all_needed) {
        uint64_t *incarnation = g_new(uint64_t, 1);
        *incarnation = peer->incarnation;
        g_hash_table_replace(p->health_synced, g_strdup(peer->name),
                             incarnation);
    }
}

/* Sends a heartbeat to each peer of the region for which one is due. Only
   peers of this data centre get the health of targets. */
static void
send_heartbeats(gv_kernel_t *k, const GArray *peers, gv_message_t *m,
                const GArray *all_health, const GArray *due_health)
{
    struct gv_kernel_private_s *p = k->private;
    msgpack_sbuffer sb;
    msgpack_sbuffer_init(&sb);
    GvMessage_Pack(&sb, m);
    uint64_t hash = XXH3_64bits(sb.data, sb.size);
    msgpack_sbuffer_destroy(&sb);
    bool slow = p->n_heartbeats % SLOW_HEARTBEATS == 0;
    bool changed = hash != p->heartbeat_hash;
    p->heartbeat_hash = hash;
    for (guint i = 0; i < peers->len; i++) {
        const gv_peer_info_t *peer = &g_array_index(peers, gv_peer_info_t, i);
        if (GvStr_Equal(GvStr_C(peer->dc), k->conf.dc)) {
            send_heartbeat(k, peer, m, all_health, due_health,
                           slow || changed);
        }
        else if (slow && GvStr_Equal(GvStr_C(peer->region), k->conf.region)) {
            m->u.heartbeat.health = NULL;
            m->u.heartbeat.n_health = 0;
            GvPeers_Send(k->peers, GvStr_C(peer->name), m);
        }
    }
}

/* Returns the health that this heartbeat sends to peers that have received all
   health before: changes, and the repeats that are due. The strings are views
   of all_health. */
static GArray *
select_due_health(const struct gv_kernel_private_s *p,
                  const GArray *all_health)
{
    GArray *due_health = g_array_new(FALSE, FALSE, sizeof(gv_health_t));
    bool bad = p->n_heartbeats % BAD_HEALTH_HEARTBEATS == 0;
    bool every = p->n_heartbeats % ALL_HEALTH_HEARTBEATS == 0;
    for (guint i = 0; i < all_health->len; i++) {
        gv_health_t h = g_array_index(all_health, gv_health_t, i);
        if (every || (bad && (h.leaving || !h.healthy)) ||
            h.seen > p->sent_seen[1]) {
            g_array_append_val(due_health, h);
        }
    }
    return due_health;
}

/* Updates p->sent_seen with the health of this heartbeat. */
static void
update_sent_seen(struct gv_kernel_private_s *p, const GArray *health)
{
    p->sent_seen[1] = p->sent_seen[0];
    for (guint i = 0; i < health->len; i++) {
        const gv_health_t *h = &g_array_index(health, gv_health_t, i);
        p->sent_seen[0] = MAX(p->sent_seen[0], h->seen);
    }
}

/* Sends heartbeats if they are due. Runs on the timer thread. */
void
GvKernel_SendHeartbeats(gv_kernel_t *k, int64_t now_ms)
{
    struct gv_kernel_private_s *p = k->private;
    if (now_ms < p->next_heartbeat_ms) {
        return;
    }
    p->next_heartbeat_ms = now_ms + GV_HEARTBEAT_MS;
    GArray *peers = g_array_new(FALSE, FALSE, sizeof(gv_peer_info_t));
    GArray *loads = g_array_new(FALSE, FALSE, sizeof(gv_load_t));
    GArray *health = g_array_new(FALSE, FALSE, sizeof(gv_health_t));
    GArray *names = g_array_new(FALSE, FALSE, sizeof(gv_str_t));
    GvPeers_List(k->peers, peers);
    append_live_peers(k, peers, names);
    GvProber_SetMembers(k->prober, (gv_str_t *)names->data, (int)names->len);
    GvDispatch_Loads(k->dispatch, loads);
    p->n_heartbeats++;
    GvProber_ListOwnReports(k->prober, 0, health);
    GArray *due_health = select_due_health(p, health);
    update_sent_seen(p, health);
    gv_message_t m = {.kind = GV_MSG_HEARTBEAT};
    m.u.heartbeat = (gv_msg_heartbeat_t){
        .list_version = GvProber_ListVersion(k->prober),
        .platform_ok = GvLogReader_PlatformOk(k->reader),
        .loads = (gv_load_t *)loads->data,
        .n_loads = (int)loads->len,
    };
    m.u.heartbeat.offset = GvLedger_NextOffset(GvReplica_Lock(k->replica));
    GvReplica_Unlock(k->replica);
    send_heartbeats(k, peers, &m, health, due_health);
    g_array_free(due_health, TRUE);
    GvProber_ClearHealth(health);
    g_array_free(health, TRUE);
    g_array_free(names, TRUE);
    g_array_free(loads, TRUE);
    g_array_free(peers, TRUE);
}

/* Probes the targets for which a probe was requested because an exchange has
   been silent for too long. Runs on the background thread. */
void
GvKernel_ProbeSuspectTargets(gv_kernel_t *k)
{
    GArray *doubts = g_array_new(FALSE, FALSE, sizeof(gv_probe_request_t));
    GvTargets_TakeProbeRequests(k->targets, doubts);
    for (guint i = 0;
         i < doubts->len && !atomic_load(&k->private->threads_stop); i++) {
        const gv_probe_request_t *d =
            &g_array_index(doubts, gv_probe_request_t, i);
        gv_health_report_t r;
        if (GvProber_Probe(GvStr_C(d->addr), GV_PROBE_TIMEOUT_MS, &r) ==
            GV_OK) {
            GvTargets_RecordProbe(k->targets, GvStr_C(d->host),
                                  GvClock_MonoMs());
        }
    }
    g_array_free(doubts, TRUE);
}
