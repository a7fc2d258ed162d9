package org.dragonflymux.gateway;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.dragonflymux.core.balance.EntryRetention;
import org.dragonflymux.core.balance.TargetEntry;
import org.dragonflymux.core.desired.DesiredState;
import org.dragonflymux.core.gateway.Gateway;
import org.dragonflymux.core.membership.UpdateSourceSelector;
import org.dragonflymux.core.name.FailureDomain;
import org.dragonflymux.core.name.TargetId;
import org.dragonflymux.gateway.clock.HostClock;
import org.dragonflymux.gateway.control.ControlLoop;
import org.dragonflymux.gateway.control.FleetRecords;
import org.dragonflymux.gateway.store.RecordDecoder;
import org.dragonflymux.gateway.store.RevisionCache;
import org.dragonflymux.gateway.store.StoreMirror;
import org.dragonflymux.gateway.store.StoreRecord;
import org.dragonflymux.gateway.store.StoredItem;

/** Applies what is read from the store to the gateway and to the control loop. */
final class StoreUpdates implements StoreMirror.Listener {

    private static final Logger LOG = LogManager.getLogger(StoreUpdates.class);
    /** How long changes of targets' entries are collected before they are applied together. */
    private static final long TARGETS_DELAY_MILLIS = 200;

    private final RecordDecoder decoder;
    private final Gateway gateway;
    private final ControlLoop control;
    private final UpdateSourceSelector updateSourceSelector;
    private final HostClock clock;
    private final EntryRetention retention = EntryRetention.empty();
    private final RevisionCache<Optional<StoreRecord>> records = RevisionCache.of(this::decode);
    private final CoalescingTrigger othersUpdate;
    private Set<String> targetKeys = Set.of();
    private Map<String, StoredItem> latestItems = Map.of();

    private StoreUpdates(
            EventLoop loop,
            RecordDecoder decoder,
            Gateway gateway,
            ControlLoop control,
            UpdateSourceSelector updateSourceSelector,
            HostClock clock) {
        this.decoder = decoder;
        this.gateway = gateway;
        this.control = control;
        this.updateSourceSelector = updateSourceSelector;
        this.clock = clock;
        this.othersUpdate =
                CoalescingTrigger.of(loop, TARGETS_DELAY_MILLIS, () -> GatewayProcess.guarded(this::applyOthers));
    }

    /**
     * Creates the listener of a host that has read nothing from the store yet.
     *
     * @param decoder decodes the records of others
     */
    static StoreUpdates of(
            EventLoop loop,
            RecordDecoder decoder,
            Gateway gateway,
            ControlLoop control,
            UpdateSourceSelector updateSourceSelector,
            HostClock clock) {
        return new StoreUpdates(loop, decoder, gateway, control, updateSourceSelector, clock);
    }

    /** Returns the prefix of the keys to follow. */
    String prefix() {
        return decoder.prefix();
    }

    /** Drops targets' entries that were retained over an outage of the store for long enough. */
    void dropExpiredEntries() {
        if (retention.retainsEntries()) {
            replaceTargets();
        }
    }

    private void replaceTargets() {
        gateway.directory().replace(retention.entries(clock.leaseClock().nowMillis()), clock.monotonicMillis());
    }

    @Override
    public void valuesChanged(Map<String, StoredItem> items, Set<String> changedKeys) {
        boolean firstRead = latestItems.isEmpty();
        latestItems = items;
        boolean onlyOwnAndTargets = changedKeys.stream().allMatch(key -> isOwn(key) || isTarget(items, key));
        if (firstRead || !onlyOwnAndTargets) {
            othersUpdate.runNow();
        } else if (!changedKeys.stream().allMatch(this::isOwn)) {
            // Applying any change takes a pass over all targets, so their changes are collected for a moment.
            othersUpdate.request();
        }
        if (firstRead || changedKeys.stream().anyMatch(this::isOwn)) {
            control.recordsChanged(items);
            updateSourceSelector.grantorChanged(
                    control.grantor(), clock.leaseClock().nowMillis());
        }
    }

    private boolean isOwn(String key) {
        return key.startsWith(FleetRecords.PREFIX);
    }

    private boolean isTarget(Map<String, StoredItem> items, String key) {
        StoredItem item = items.get(key);
        return item == null
                ? targetKeys.contains(key)
                : records.read(item)
                        .filter(StoreRecord.Target.class::isInstance)
                        .isPresent();
    }

    private void applyOthers() {
        Map<TargetId, TargetEntry> targets = new HashMap<>();
        Set<FailureDomain> drained = new HashSet<>();
        Set<String> keysOfTargets = new HashSet<>();
        for (StoredItem item : latestItems.values()) {
            if (!isOwn(item.key())) {
                records.read(item).ifPresent(storeRecord -> {
                    apply(storeRecord, targets, drained);
                    if (storeRecord instanceof StoreRecord.Target) {
                        keysOfTargets.add(item.key());
                    }
                });
            }
        }
        targetKeys = keysOfTargets;
        records.retain(latestItems.keySet());
        retention.replace(targets, clock.leaseClock().nowMillis());
        replaceTargets();
        gateway.directory().replaceDrainedDomains(drained);
    }

    private Optional<StoreRecord> decode(StoredItem item) {
        return decoder.decode(item.key(), item.value())
                .peekLeft(error -> LOG.warn(
                        "event=record_unreadable key={} revision={} error={}", item.key(), item.revision(), error))
                .toJavaOptional();
    }

    private void apply(StoreRecord storeRecord, Map<TargetId, TargetEntry> targets, Set<FailureDomain> drained) {
        switch (storeRecord) {
            case StoreRecord.Desired desired -> applyDesiredState(desired.state());
            case StoreRecord.Target target -> targets.put(target.entry().id(), target.entry());
            case StoreRecord.Drain drain -> drained.add(drain.domain());
        }
    }

    private void applyDesiredState(DesiredState state) {
        if (gateway.desired().map(DesiredState::version).orElse(-1L) < state.version()) {
            LOG.info("event=desired_state version={}", state.version());
            gateway.updateDesiredState(state);
            control.desiredStateChanged(state);
        }
    }

    @Override
    public void confirmed(long at) {
        gateway.storeConfirmed(at - clock.suspendedMillis());
    }

    @Override
    public void updatesRelayed(long completeAt) {
        updateSourceSelector.updatesReceived(completeAt, clock.leaseClock().nowMillis());
    }

    @Override
    public void storeRecovered(long at) {
        retention.storeRecovered(at);
    }
}
