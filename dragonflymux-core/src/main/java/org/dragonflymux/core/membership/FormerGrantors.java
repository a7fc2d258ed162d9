package org.dragonflymux.core.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * The grantors of all earlier terms that may still renew grants when a term begins. The record of the term holds them, since
 * the next grantor must wait for them too if the term ends early. Their times count from the write of that record.
 *
 * @param named the grantors that are known, each host at most once
 * @param unnamedMillis for how long any other host may renew grants, in milliseconds; not 0 after a record of an earlier version,
 *     which names none, or an unreadable one
 */
public record FormerGrantors(List<FormerGrantor> named, long unnamedMillis) {

    /** No other host renews grants. */
    public static final FormerGrantors NONE = new FormerGrantors(List.of(), 0);

    public FormerGrantors {
        named = List.copyOf(named);
    }

    /** Returns the former grantors if any host may renew grants for the given time. */
    public static FormerGrantors unnamed(long millis) {
        return new FormerGrantors(List.of(), millis);
    }

    /** Returns for how long others may renew grants, in milliseconds. */
    public long renewForMillis() {
        return named.stream().mapToLong(FormerGrantor::renewsForMillis).reduce(unnamedMillis, Math::max);
    }

    /** Returns those that may still renew grants after the given time. */
    public FormerGrantors remainingAfter(long elapsedMillis) {
        List<FormerGrantor> remaining = named.stream()
                .filter(former -> former.renewsForMillis() > elapsedMillis)
                .map(former -> new FormerGrantor(
                        former.host(), former.incarnation(), former.renewsForMillis() - elapsedMillis))
                .toList();
        return new FormerGrantors(remaining, Math.max(0, unnamedMillis - elapsedMillis));
    }

    /** Returns these and another one, which replaces the entry of the same host. */
    public FormerGrantors with(FormerGrantor added) {
        List<FormerGrantor> all = new ArrayList<>(named);
        all.removeIf(former -> former.host().equals(added.host()));
        all.add(added);
        return new FormerGrantors(all, unnamedMillis);
    }

    /** Returns these without the ones that are known to have ended. */
    public FormerGrantors without(Predicate<FormerGrantor> ended) {
        return new FormerGrantors(named.stream().filter(ended.negate()).toList(), unnamedMillis);
    }
}
