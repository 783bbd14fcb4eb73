/** Messages between nodes, and the headers that calls carry. */
export {Control} from './gen/goldcresthill/v1/control_pb.js';
export {fromWire, toWire} from './exchange_codec';
export {HEADERS} from './headers';
export {decodeReport, encodeReport} from './load_codec';
