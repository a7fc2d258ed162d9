package org.dragonflymux.core.shard;

import java.util.Arrays;
import java.util.List;
import org.dragonflymux.core.shard.PlacementModel.Service;
import org.junit.jupiter.api.Test;

class PlacementFigures {
    static final Service A = new Service(76, 2, 661, 90.5, 548);
    static final Service B = new Service(104, 6, 788, 289, 1_239);

    static double[] even() {
        double[] w = new double[65_536];
        Arrays.fill(w, 1.0 / w.length);
        return w;
    }

    static double[] uneven() {
        double[] w = new double[65_536];
        for (int i = 0; i < w.length; i++) {
            w[i] = 0.3 + (i / 1_000 % 7 == 0 ? 5.0 : 0) ;
        }
        double s = Arrays.stream(w).sum();
        for (int i = 0; i < w.length; i++) w[i] /= s;
        return w;
    }

    static double[] hot(double share, int keys) {
        double[] w = even();
        for (int i = 0; i < w.length; i++) w[i] *= 1 - share;
        for (int i = 0; i < keys; i++) w[20_300 + i] += share / keys;
        return w;
    }

    void show(String name, Service s, double[] warm, double[] w, double... speeds) {
        PlacementModel m = PlacementModel.of(s, speeds);
        if (warm != null) { System.out.println(name + " warm " + m.run(warm, 10_000)); }
        PlacementModel o = PlacementModel.of(s, speeds);
        o.placeWithCompleteKnowledge(w);
        for (int i = 0; i < 6; i++) {
            var x = m.run(w, i < 3 ? 1_000 : i < 5 ? 3_000 : 10_000);
            var y = o.run(w, i < 3 ? 1_000 : i < 5 ? 3_000 : 10_000);
            System.out.printf("%s %d refused=%.3f bound=%.3f delayed=%.3f moves=%d keys=%d last=%.0f rows=%d%n", name, i, x.refusedShare(), y.refusedShare(),
                (double) x.delayedByMoves() / x.requests(), x.moves(), x.movedKeys(), x.lastMoveMillis(), m.assignments());
        }
        System.out.println(name + " mostMoves " + m.mostMovesOfOneKey());
    }

    @Test
    void figures() {
        for (var s : List.of(A, B)) {
            String n = s == A ? "A " : "B ";
            show(n + "even", s, null, even(), 1);
            show(n + "uneven", s, null, uneven(), 1);
            show(n + "hot60/.25", s, even(), hot(.25, 60), 1);
            show(n + "hot200/.45", s, even(), hot(.45, 200), 1);
            show(n + "hot60/.45", s, even(), hot(.45, 60), 1);
            show(n + "hot1", s, even(), hot(.16, 1), 1);
            show(n + "hot1-speeds", s, even(), hot(.16, 1), .7, .7, 1.6);
            show(n + "speeds", s, null, even(), .7, .7, 1.6);
            show(n + "speeds200", s, even(), hot(.35, 200), .7, .7, 1.6);
        }
    }
}
