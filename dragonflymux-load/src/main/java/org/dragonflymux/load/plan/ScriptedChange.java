package org.dragonflymux.load.plan;

import java.net.URI;

/** A scripted change during a run. */
public sealed interface ScriptedChange {

    /** Returns the time of the change, in seconds after the start of the run. */
    double atSecond();

    /** Multiplies a customer's request rate by a factor. */
    record Rate(double atSecond, String customer, double factor) implements ScriptedChange {}

    /** Configures faults of a stand-in by posting JSON to its address. */
    record Fault(double atSecond, URI address, String json) implements ScriptedChange {}

    /** Parses {@code SECOND:rate:CUSTOMER:FACTOR} or {@code SECOND:fault:ADDRESS JSON}. */
    static ScriptedChange parse(String text) {
        String[] parts = text.split(":", 3);
        if (parts.length == 3 && parts[1].equals("rate")) {
            String[] rate = parts[2].split(":", 2);
            return new Rate(Double.parseDouble(parts[0]), rate[0], Double.parseDouble(rate[1]));
        }
        if (parts.length == 3 && parts[1].equals("fault")) {
            String[] fault = parts[2].split(" ", 2);
            return new Fault(Double.parseDouble(parts[0]), URI.create(fault[0]), fault[1]);
        }
        throw new MalformedPlanException("change", text, "SECOND:rate:CUSTOMER:FACTOR or SECOND:fault:ADDRESS JSON");
    }
}
