/** Control messages between nodes, and the headers of calls. */
export {Control} from './gen/goldcresthill/v1/control_pb.js';
export {decodeExchange, encodeExchange} from './exchange_codec';
export {HEADERS} from './headers';
export {decodeLoadReport, encodeLoadReport} from './load_codec';
