package wire

// HandleRequest decodes a request from body, handles it with f and encodes the reply.
func HandleRequest[In, Out any](body []byte, f func(In) (Out, error)) ([]byte, error) {
	var in In
	if err := Decode(body, &in); err != nil {
		return nil, err
	}
	out, err := f(in)
	if err != nil {
		return nil, err
	}
	return Encode(out)
}
