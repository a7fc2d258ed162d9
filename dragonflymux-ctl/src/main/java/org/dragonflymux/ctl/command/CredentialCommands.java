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

/** Commands on customers and their credentials. */
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
                                    for (var each : found) {
                                        CustomerDocument customer = (CustomerDocument) each.document();
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
                        "set a customer's rate and burst over the whole fleet",
                        CredentialCommands::rate),
                SimpleCommand.of(
                        "credential grant",
                        List.of("CUSTOMER"),
                        "make a credential and print it, once",
                        (arguments, store) -> grant(CustomerName.of(arguments.getFirst()), store)),
                SimpleCommand.of(
                        "credential list",
                        List.of("CUSTOMER"),
                        "list a customer's credentials by their ids",
                        (arguments, store) -> change(store, arguments.getFirst(), customer -> customer)
                                .map(CredentialCommands::listed)),
                SimpleCommand.of(
                        "credential withdraw",
                        List.of("CUSTOMER", "ID"),
                        "withdraw a credential; it stops working within seconds",
                        (arguments, store) -> change(
                                        store, arguments.getFirst(), customer -> without(customer, arguments.get(1)))
                                .map(CredentialCommands::listed)));
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
        String credential = random(CREDENTIAL_BYTES);
        CredentialGrant grant = new CredentialGrant(random(ID_BYTES), CredentialRegistry.hash(credential));
        return store.change(DocumentKey.customer(customer), CustomerDocument.class, known -> with(known, grant))
                .map(changed -> Report.of("customer", "id", "credential").with(customer, grant.id(), credential));
    }

    private static String random(int bytes) {
        byte[] random = new byte[bytes];
        RANDOM.nextBytes(random);
        return BaseEncoding.base16().lowerCase().encode(random);
    }

    private static CustomerDocument with(CustomerDocument customer, CredentialGrant grant) {
        List<CredentialGrant> credentials = new ArrayList<>(customer.credentials());
        credentials.add(grant);
        return customer.withCredentials(credentials);
    }

    private static CustomerDocument without(CustomerDocument customer, String id) {
        return customer.withCredentials(customer.credentials().stream()
                .filter(grant -> !grant.id().equals(id))
                .toList());
    }

    private static Report listed(CustomerDocument customer) {
        Report report = Report.of("customer", "id");
        for (CredentialGrant grant : customer.credentials()) {
            report = report.with(customer.name(), grant.id());
        }
        return report;
    }
}
