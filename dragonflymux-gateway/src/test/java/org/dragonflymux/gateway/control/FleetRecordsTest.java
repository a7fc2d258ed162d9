package org.dragonflymux.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.dragonflymux.core.membership.FleetMember;
import org.dragonflymux.core.membership.FormerGrantor;
import org.dragonflymux.core.membership.FormerGrantors;
import org.dragonflymux.core.membership.GrantorTerm;
import org.dragonflymux.core.membership.StoreEpoch;
import org.dragonflymux.core.name.FailureDomain;
import org.dragonflymux.core.name.HostId;
import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.shard.GrantSettings;
import org.dragonflymux.gateway.store.StoredItem;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against hosts that stop following the store because another writer left an odd record among their own. */
class FleetRecordsTest {

    private static final FleetMember MEMBER =
            new FleetMember(HostId.of("front-1"), 7, FailureDomain.of("east"), "127.0.0.1:7100");

    @Test
    void a_member_is_decoded_as_it_was_encoded() {
        assertThat(FleetRecords.member(FleetRecords.encode(MEMBER))).contains(MEMBER);
    }

    @Test
    void a_grantor_is_decoded_with_the_lease_and_revision_of_its_term() {
        FormerGrantors former = new FormerGrantors(List.of(new FormerGrantor(HostId.of("front-2"), 8, 4_500)), 300);
        StoredItem item = new StoredItem(FleetRecords.GRANTOR_KEY, FleetRecords.encodeTerm(MEMBER, 3, former), 12);

        assertThat(FleetRecords.grantorTerm(item)).contains(new GrantorTerm(MEMBER, 3, 12, former));
        assertThat(FleetRecords.member(item.value())).contains(MEMBER);
    }

    /** Guards against tables that are older than the grantor's record, in a copy that was read in pages. */
    @Test
    void the_grantors_keys_sort_before_the_tables() {
        assertThat(List.of(FleetRecords.GRANTOR_KEY, FleetRecords.LAST_GRANTOR_KEY))
                .allSatisfy(key -> assertThat(key).isLessThan(FleetRecords.TABLE_PREFIX));
    }

    /** Guards against a grantor that waits for nobody, since a host of an earlier version was the grantor before it. */
    @Test
    void any_host_may_renew_after_a_term_whose_record_names_no_former_grantors() {
        StoredItem item = new StoredItem(FleetRecords.GRANTOR_KEY, FleetRecords.encodeLender(MEMBER, 3), 12);

        assertThat(FleetRecords.grantorTerm(item).map(GrantorTerm::formerGrantors))
                .contains(FormerGrantors.unnamed(GrantSettings.RENEWAL_GRACE_MILLIS));
    }

    /** Guards against a live grantor of an earlier version whose term counts as over in a store with an epoch. */
    @Test
    void a_term_without_an_epoch_is_not_taken_for_one_of_an_earlier_epoch() {
        long revision = StoreEpoch.qualify(1, 12);
        StoredItem earlierVersion =
                new StoredItem(FleetRecords.GRANTOR_KEY, FleetRecords.encodeLender(MEMBER, 3), revision);
        StoredItem epochZero = new StoredItem(
                FleetRecords.GRANTOR_KEY, FleetRecords.encodeTerm(MEMBER, 3, FormerGrantors.NONE), revision);

        assertThat(FleetRecords.grantorTerm(earlierVersion).orElseThrow().restored())
                .isFalse();
        assertThat(FleetRecords.grantorTerm(epochZero).orElseThrow().restored()).isTrue();
    }

    /** Guards against a service whose keys never move, since an odd record promises renewals for years. */
    @ParameterizedTest
    @CsvSource({"-5, 10000", "1e30, 10000", "9000000000000000000, 60000", "\"soon\", 10000", "20000, 20000"})
    void a_former_grantor_renews_for_a_bounded_time(String written, long read) {
        String record =
                "{\"host\":\"front-1\",\"incarnation\":7,\"domain\":\"east\",\"peer\":\"127.0.0.1:80\",\"lease\":3,"
                        + "\"unnamedMillis\":0,\"formerGrantors\":[{\"host\":\"front-2\",\"incarnation\":8,\"renewsForMillis\":"
                        + written + "}]}";
        StoredItem item = new StoredItem(FleetRecords.GRANTOR_KEY, record.getBytes(StandardCharsets.UTF_8), 12);

        assertThat(FleetRecords.grantorTerm(item)
                        .map(term -> term.formerGrantors().renewForMillis()))
                .contains(read);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "[]",
                "7",
                "{",
                "{\"host\":\"front-1\",\"incarnation\":7,\"domain\":\"east\"}",
                "{\"host\":\"front-1\",\"incarnation\":7,\"domain\":\"east\",\"peer\":\"127.0.0.1:70000\"}",
                "{\"host\":\"front-1\",\"incarnation\":7,\"domain\":\"east\",\"peer\":\"127.0.0.1\"}",
                "{\"host\":\"front-1\",\"incarnation\":7,\"domain\":\"east\",\"peer\":\"front-1:80\"}",
                "{\"host\":\"\",\"incarnation\":7,\"domain\":\"east\",\"peer\":\"127.0.0.1:80\"}",
            })
    void an_odd_record_is_no_member_no_grantor_and_no_lender(String value) {
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);

        assertThat(FleetRecords.member(bytes)).isEmpty();
        assertThat(FleetRecords.grantorTerm(new StoredItem(FleetRecords.GRANTOR_KEY, bytes, 1)))
                .isEmpty();
        assertThat(FleetRecords.lenderPartition(new StoredItem(FleetRecords.LENDER_PARTITION_PREFIX + "1", bytes, 1)))
                .isEmpty();
    }

    @Test
    void a_record_under_an_odd_key_is_ignored() {
        byte[] record = FleetRecords.encodeLender(MEMBER, 3);

        assertThat(FleetRecords.lenderPartition(
                        new StoredItem(FleetRecords.LENDER_PARTITION_PREFIX + "one", record, 1)))
                .isEmpty();
        assertThat(FleetRecords.serviceOfTable(FleetRecords.TABLE_PREFIX + "no such name"))
                .isEmpty();
        assertThat(FleetRecords.serviceOfTable(FleetRecords.TABLE_PREFIX + "orders"))
                .contains(ServiceName.of("orders"));
    }
}
