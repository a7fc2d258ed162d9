package org.dragonflymux.load.run;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.dragonflymux.runtime.http.TargetProtocol;
import ratpack.http.client.ReceivedResponse;

/** Tells what an answer means, and whether it is the answer to what was asked. */
final class AnswerCheck {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int STATUS_OK = 200;

    private AnswerCheck() {}

    static Result of(ReceivedResponse response, RequestFactory.Planned asked, String customer) {
        String execution = response.getHeaders().get(TargetProtocol.EXECUTION_HEADER);
        if (response.getStatusCode() == STATUS_OK) {
            return answer(response, asked, customer);
        }
        if ("not-run".equals(execution)) {
            return response.getStatusCode() == 429 ? Result.REFUSED_RATE : Result.REFUSED;
        }
        return "unknown".equals(execution) ? Result.UNKNOWN : Result.ERROR;
    }

    private static Result answer(ReceivedResponse response, RequestFactory.Planned asked, String customer) {
        JsonNode body;
        try {
            body = MAPPER.readTree(response.getBody().getText().strip());
        } catch (JsonProcessingException e) {
            return Result.WRONG;
        }
        boolean own = asked.path().endsWith(body.path("path").asText());
        boolean byOwner = customer.isEmpty() || body.path("customer").asText().equals(customer);
        boolean secret = !body.path("credentialSeen").asBoolean();
        boolean once = body.path("runs").asInt(1) == 1;
        return own && byOwner && secret && once ? Result.SUCCEEDED : Result.WRONG;
    }
}
