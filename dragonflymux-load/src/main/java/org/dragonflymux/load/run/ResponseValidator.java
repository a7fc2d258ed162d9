package org.dragonflymux.load.run;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.dragonflymux.runtime.http.TargetProtocol;
import ratpack.http.client.ReceivedResponse;

/** Determines the result of a request from its response, and whether the response belongs to the request. */
final class ResponseValidator {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int STATUS_OK = 200;

    private ResponseValidator() {}

    static Result of(ReceivedResponse response, RequestFactory.PlannedRequest request, String customer) {
        String execution = response.getHeaders().get(TargetProtocol.EXECUTION_HEADER);
        if (response.getStatusCode() == STATUS_OK) {
            return validate(response, request, customer);
        }
        if ("not-run".equals(execution)) {
            return response.getStatusCode() == 429 ? Result.REFUSED_RATE : Result.REFUSED;
        }
        return "unknown".equals(execution) ? Result.UNKNOWN : Result.ERROR;
    }

    private static Result validate(ReceivedResponse response, RequestFactory.PlannedRequest request, String customer) {
        JsonNode body;
        try {
            body = MAPPER.readTree(response.getBody().getText().strip());
        } catch (JsonProcessingException e) {
            return Result.WRONG;
        }
        boolean matchesRequest = request.path().endsWith(body.path("path").asText());
        boolean matchesCustomer =
                customer.isEmpty() || body.path("customer").asText().equals(customer);
        boolean credentialStripped = !body.path("credentialSeen").asBoolean();
        boolean ranOnce = body.path("runs").asInt(1) == 1;
        return matchesRequest && matchesCustomer && credentialStripped && ranOnce ? Result.SUCCEEDED : Result.WRONG;
    }
}
