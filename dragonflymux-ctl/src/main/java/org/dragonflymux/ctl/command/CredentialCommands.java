package org.dragonflymux.ctl.command;

import com.google.common.io.BaseEncoding;
import io.vavr.control.Either;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import org.dragonflymux.core.credential.CredentialRegistry;
import org.dragonflymux.core.document.CredentialGrant;
import org.dragonflymux.core.document.CustomerDocument;
import org.dragonflymux.core.document.DocumentKey;
import org.dragonflymux.core.name.CustomerName;
import org.dragonflymux.ctl.CtlError;
import org.dragonflymux.ctl.output.Report;
import org.dragonflymux.ctl.store.DocumentStore;

/** Commands that manage customers, their rate limits and their credentials. */
final class CredentialCommands {

    private static final int CREDENTIAL_BYTES = 32;
    private static final int ID_BYTES = 4;
    private static final SecureRandom RANDOM = new SecureRandom();

    private CredentialCommands() {}

    static List<Command> all() {
        return List.of(
                SimpleCommand.of(
                        "customers",
                        List.of(),
                        "list the customers",
                        (arguments, store) -> store.list(DocumentKey.CUSTOMER_PREFIX)
                                .map(found -> {
                                    Report report = Report.of("customer", "rate", "burst", "weight", "credentials");
                                    for (var entry : found) {
                                        CustomerDocument customer = (CustomerDocument) entry.document();
                                        report = report.with(
                                                customer.name(),
                                                customer.ratePerSecond(),
                                                customer.burst(),
                                                customer.weight(),
                                                customer.credentials().size());
                                    }
                                    return report;
                                })),
                SimpleCommand.of(
                        "rate",
                        List.of("CUSTOMER", "PER-SECOND", "BURST"),
                        "set a customer's rate limit and burst for all hosts together",
                        CredentialCommands::rate),
                SimpleCommand.of(
                        "credential grant",
                        List.of("CUSTOMER"),
                        "create a credential and print it; it can't be shown again",
                        (arguments, store) -> grant(CustomerName.of(arguments.getFirst()), store)),
                SimpleCommand.of(
                        "credential list",
                        List.of("CUSTOMER"),
                        "list the IDs of a customer's credentials",
                        (arguments, store) -> change(store, arguments.getFirst(), customer -> customer)
                                .map(CredentialCommands::credentialReport)),
                SimpleCommand.of(
                        "credential withdraw",
                        List.of("CUSTOMER", "ID"),
                        "revoke a credential; it stops working within seconds",
                        (arguments, store) -> change(
                                        store,
                                        arguments.getFirst(),
                                        customer -> withoutGrant(customer, arguments.get(1)))
                                .map(CredentialCommands::credentialReport)));
    }

    private static Either<CtlError, CustomerDocument> change(
            DocumentStore store, String customer, java.util.function.UnaryOperator<CustomerDocument> change) {
        return store.change(DocumentKey.customer(CustomerName.of(customer)), CustomerDocument.class, change);
    }

    private static Either<CtlError, Report> rate(List<String> arguments, DocumentStore store) {
        double perSecond = Double.parseDouble(arguments.get(1));
        int burst = Integer.parseInt(arguments.get(2));
        return change(store, arguments.getFirst(), customer -> customer.withRate(perSecond, burst))
                .map(customer -> Report.of("customer", "rate", "burst")
                        .with(customer.name(), customer.ratePerSecond(), customer.burst()));
    }

    private static Either<CtlError, Report> grant(CustomerName customer, DocumentStore store) {
        String credential = randomHex(CREDENTIAL_BYTES);
        CredentialGrant grant = new CredentialGrant(randomHex(ID_BYTES), CredentialRegistry.hash(credential));
        return store.change(
                        DocumentKey.customer(customer), CustomerDocument.class, current -> withGrant(current, grant))
                .map(changed -> Report.of("customer", "id", "credential").with(customer, grant.id(), credential));
    }

    private static String randomHex(int bytes) {
        byte[] random = new byte[bytes];
        RANDOM.nextBytes(random);
        return BaseEncoding.base16().lowerCase().encode(random);
    }

    private static CustomerDocument withGrant(CustomerDocument customer, CredentialGrant grant) {
        List<CredentialGrant> credentials = new ArrayList<>(customer.credentials());
        credentials.add(grant);
        return customer.withCredentials(credentials);
    }

    private static CustomerDocument withoutGrant(CustomerDocument customer, String id) {
        return customer.withCredentials(customer.credentials().stream()
                .filter(grant -> !grant.id().equals(id))
                .toList());
    }

    private static Report credentialReport(CustomerDocument customer) {
        Report report = Report.of("customer", "id");
        for (CredentialGrant grant : customer.credentials()) {
            report = report.with(customer.name(), grant.id());
        }
        return report;
    }
}
